//! The shared state of the entries, as operators read it from the store.

use super::*;

/// The output of `celerythread fleet --json`.
pub(super) fn fleet_status(site: &Site) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_celerythread"))
        .args(["fleet", "--json", "--store", &site.store_address().to_string()])
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Guards against a fleet status that needs an entry: after all entries are lost, operators must
/// still see who held which cell and how far maintenance is.
#[async_std::test]
async fn cell_holders_are_readable_without_any_entry() {
    let mut deployment = Deployment::start("fleet", 2, 3).await;
    deployment.site.request_upkeep(7, &["m-0"], 1);
    eventually("the wave is completed", async || {
        let status = deployment.site.store.value("status", "", "wave/7")?;
        let status: Value = serde_json::from_slice(&status).ok()?;
        (status["state"] == "completed").then_some(())
    })
    .await;
    let fleet = eventually("the wave is stored as completed", async || {
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
    assert!(
        !fleet.to_string().contains("PRIVATE KEY"),
        "the status must not contain the authority's private key"
    );
    deployment.entries.clear();
    assert_eq!(fleet_status(&deployment.site)["cells"], fleet["cells"]);
}
