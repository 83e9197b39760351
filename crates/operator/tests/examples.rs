//! Checks that the example manifests have the sizes of today's users.

use std::path::Path;

use copperwell_keyspace::manifest::Service;
use copperwell_message::Class;
use copperwell_operator::load;
use test_case::test_case;

async fn services(user: &str) -> Vec<Service> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let path = root.join(user).join("manifest.yaml");
    let manifest = load::manifest(&path).await.expect("a valid manifest");
    assert_eq!(manifest.data_centres.len(), 3);
    manifest.services
}

#[test_case("abraziv", 2, &[10, 6, 17])]
#[test_case("tazza", 6, &[12, 6, 20])]
#[tokio::test]
async fn an_example_has_the_sizes_of_its_user(user: &str, slots: u32, upstreams: &[usize]) {
    let services = services(user).await;
    let counts: Vec<usize> = services
        .iter()
        .map(|service| service.upstreams.len())
        .collect();
    assert_eq!(counts, upstreams);
    for upstream in services.iter().flat_map(|service| &service.upstreams) {
        assert_eq!((upstream.slots, upstream.connections), (slots, 130));
    }
    let classes: Vec<Class> = services.iter().map(|service| service.class).collect();
    assert_eq!(
        classes,
        [Class::Interactive, Class::Interactive, Class::Batch]
    );
}
