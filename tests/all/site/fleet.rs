//! What the entries agree on, as operators read it from the store.

use super::*;

/// What `celerythread fleet` prints for programs.
pub(super) fn fleet_status(site: &Site) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_celerythread"))
        .args(["fleet", "--json", "--store", &site.store_address().to_string()])
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

/// All entries are lost, and operators want to know who held what, and how far the maintenance is:
/// no entry is left to ask.
#[async_std::test]
async fn cell_holders_are_readable_without_any_entry() {
    let mut deployment = Deployment::start("fleet", 2, 3).await;
    deployment.site.ask_upkeep(7, &["m-0"], 1);
    eventually("the wave is completed", async || {
        let status = deployment.site.store.value("status", "", "wave/7")?;
        let status: Value = serde_json::from_slice(&status).ok()?;
        (status["state"] == "completed").then_some(())
    })
    .await;
    let fleet = eventually("the wave is kept as completed", async || {
        let fleet = fleet_status(&deployment.site);
        (fleet["waves"][0]["completed"] == true).then_some(fleet)
    })
    .await;
    assert_eq!(fleet["entries"].as_array().unwrap().len(), 2);
    let cells = fleet["cells"].as_array().unwrap();
    assert!(
        cells.len() >= 2 && cells.iter().all(|cell| cell["holder_is_there"] == true),
        "{fleet}"
    );
    assert_eq!(fleet["waves"][0]["number"], "7");
    assert!(!fleet.to_string().contains("PRIVATE KEY"), "the entries' key is nobody's to see");
    deployment.entries.clear();
    assert_eq!(fleet_status(&deployment.site)["cells"], fleet["cells"]);
}
