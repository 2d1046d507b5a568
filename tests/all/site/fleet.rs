//! What the entries agree on, as operators read it from the store.

use super::*;

/// What `celerythread fleet` prints for programs.
pub(super) fn fleet(site: &Site) -> Value {
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
async fn who_holds_what_is_told_without_any_entry() {
    let mut deployment = Deployment::start("fleet", 2, 3).await;
    deployment.site.request_upkeep(7, &["m-0"], 1);
    eventually("the wave is completed", async || {
        let status = deployment.site.store.value("status", "", "wave/7")?;
        let status: Value = serde_json::from_slice(&status).ok()?;
        (status["state"] == "completed").then_some(())
    })
    .await;
    let told = eventually("the wave is kept as completed", async || {
        let told = fleet(&deployment.site);
        (told["waves"][0]["completed"] == true).then_some(told)
    })
    .await;
    assert_eq!(told["entries"].as_array().unwrap().len(), 2);
    let cells = told["cells"].as_array().unwrap();
    assert!(cells.len() >= 2 && cells.iter().all(|cell| cell["holder_is_there"] == true), "{told}");
    assert_eq!(told["waves"][0]["number"], "7");
    assert!(!told.to_string().contains("PRIVATE KEY"), "the entries' key is nobody's to see");
    deployment.entries.clear();
    assert_eq!(fleet(&deployment.site)["cells"], told["cells"]);
}
