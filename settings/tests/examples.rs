//! The example sites are valid and have the current numbers of hosts, shards and replicas.

use std::fs;
use std::path::{Path, PathBuf};

use yuccalift_core::ShardMap;
use yuccalift_settings::{parse_accounts, parse_daemon, parse_fleet_bounds, parse_shard_map};

/// Expected number of shards, replicas per shard, and limits of each target in a collection.
struct CollectionShape {
    name: &'static str,
    shards: usize,
    replicas: usize,
    slots: u32,
    connections: u32,
    connect_ms: u32,
}

const fn shape(
    name: &'static str,
    [shards, replicas]: [usize; 2],
    [slots, connections, connect_ms]: [u32; 3],
) -> CollectionShape {
    CollectionShape {
        name,
        shards,
        replicas,
        slots,
        connections,
        connect_ms,
    }
}

const VN_SOUTH: [CollectionShape; 4] = [
    shape("race-desk", [10, 3], [3, 30, 6]),
    shape("dealer-catalog", [15, 3], [3, 30, 6]),
    shape("ledger-view", [1, 7], [6, 110, 1]),
    shape("vet-notices", [1, 3], [6, 110, 1]),
];

const QUITO: [CollectionShape; 4] = [
    shape("despacho", [10, 3], [5, 40, 6]),
    shape("rutas", [15, 3], [5, 40, 6]),
    shape("cobranza", [1, 40], [2, 35, 1]),
    shape("bares-app", [1, 20], [2, 35, 1]),
];

fn folder(site: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(site)
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).expect("the example file can be read")
}

fn check_map(map: &ShardMap, shape: &CollectionShape) {
    let name = shape.name;
    assert_eq!(
        map.collection.as_ref(),
        name,
        "the file is named after its collection"
    );
    assert_eq!(map.shards.len(), shape.shards, "{name}: shards");
    for entry in &map.shards {
        assert_eq!(entry.replicas.len(), shape.replicas, "{name}: replicas");
    }
    assert_eq!(
        map.targets.len(),
        shape.shards * shape.replicas,
        "{name}: targets"
    );
    for target in &map.targets {
        let limits = (target.slots, target.connections, target.connect_ms);
        let expected = (shape.slots, shape.connections, shape.connect_ms);
        assert_eq!(
            limits, expected,
            "{name}: limits of target {}",
            target.target
        );
    }
}

fn assert_site_valid(site: &str, shapes: &[CollectionShape], hosts: usize) {
    let folder = folder(site);
    let mut targets = Vec::new();
    for shape in shapes {
        let path = folder.join("map").join(shape.name).with_extension("json");
        let map = parse_shard_map(shape.name, &read(&path)).expect("the shard map is valid");
        check_map(&map, shape);
        targets.extend(map.targets.iter().map(|entry| entry.target));
    }
    let target_count = targets.len();
    targets.sort_unstable();
    targets.dedup();
    assert_eq!(
        targets.len(),
        target_count,
        "target numbers are unique across collections"
    );

    let accounts = parse_accounts("accounts", &read(&folder.join("accounts.yaml")), 1);
    for policy in accounts.expect("the accounts are valid").accounts {
        for collection in &policy.collections {
            let has_map = shapes.iter().any(|shape| shape.name == collection.as_ref());
            assert!(has_map, "{}: {collection} has a shard map", policy.account);
        }
    }

    let daemons = fs::read_dir(folder.join("daemons")).expect("the folder can be read");
    let mut data_centres = Vec::new();
    for entry in daemons {
        let path = entry.expect("the folder entry can be read").path();
        let settings = parse_daemon("daemon", &read(&path)).expect("the settings are valid");
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        assert_eq!(
            stem,
            Some(settings.host.as_ref()),
            "the file is named after its host"
        );
        data_centres.push(settings.data_centre);
    }
    assert_eq!(data_centres.len(), hosts, "entry hosts");
    data_centres.sort();
    data_centres.dedup();
    assert_eq!(data_centres.len(), 3, "data centres");

    let fleet = parse_fleet_bounds("fleet", &read(&folder.join("fleet.json")));
    let bounds = fleet.expect("the bounds are valid");
    assert!(
        bounds.daemons as usize > hosts,
        "the bound leaves room for new hosts that start before old ones stop"
    );
}

yuccalift_testkit::cases! {
    vn_south_site_is_valid: assert_site_valid("vn-south", &VN_SOUTH, 9);
    quito_site_is_valid: assert_site_valid("quito", &QUITO, 7);
}
