//! Settings files written for an earlier release pass the check unchanged.

use std::path::Path;
use std::process::Command;

/// Folder of the example settings as of commit 32b5283.
const EXAMPLES: &str = "tests/fixtures/32b5283";
/// Settings of the node that wrote the store's fixtures; they include `store`, `last_list` and `parked`.
const NODE_WITH_STORES: &str = "../nickelgw-store/tests/fixtures/32b5283/node.txtpb";

fn assert_passes_check(file: &Path, kind: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_nickelgw")).arg("check").arg(file).output().unwrap();
    let (stdout, stderr) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{}: {stdout}{stderr}", file.display());
    assert!(stdout.contains(kind), "{stdout}");
}

#[test]
fn examples_of_an_earlier_release_pass_the_check() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(EXAMPLES);
    let kinds = [
        ("bad-day-tls.txtpb", "a day"),
        ("bad-day.txtpb", "a day"),
        ("fleet-node.txtpb", "a node"),
        ("node.txtpb", "a node"),
        ("noisy-tenant.txtpb", "a day"),
    ];
    for (file, kind) in kinds {
        assert_passes_check(&folder.join(file), kind);
    }
    assert_eq!(
        std::fs::read_dir(&folder).unwrap().count(),
        kinds.len(),
        "the test must check every file in the folder of examples"
    );
}

#[test]
fn node_settings_with_stores_of_an_earlier_release_pass_the_check() {
    assert_passes_check(&Path::new(env!("CARGO_MANIFEST_DIR")).join(NODE_WITH_STORES), "a node");
}
