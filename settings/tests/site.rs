//! Documents that are valid by themselves but inconsistent with each other.

use yuccalift_settings::SiteCheck;

const ACCOUNTS: &str = "\
templates:
  race: {collections: [tags]}
accounts:
  vets: {template: race}
  farms:
    template: race
    collections: [tags, ewes]
";

fn daemon(host: &str, key: &str) -> String {
    format!(
        "host: {host}\ndata_centre: hue\n\
         listen: {{callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'}}\n\
         platform: ['127.0.0.1:4']\nshared_key: {key}\n"
    )
}

fn map(collection: &str) -> String {
    format!(
        "{{\"collection\": \"{collection}\", \"epoch\": 1,\n\
         \"shards\": [{{\"shard\": 0, \"replicas\": [7]}}],\n\
         \"targets\": [\n\
         {{\"target\": 7, \"address\": \"127.0.0.1:8\", \"data_centre\": \"hue\", \"host\": \"l\",\n\
         \"slots\": 1, \"connections\": 1, \"connect_ms\": 1}}]}}"
    )
}

fn assert_errors(documents: &[(&str, String)], expected: &[&str]) {
    let mut site = SiteCheck::new();
    for (file, text) in documents {
        site.add(file, text)
            .expect("each document is valid by itself");
    }
    let messages: Vec<String> = site.site_errors().iter().map(ToString::to_string).collect();
    assert_eq!(
        messages, expected,
        "exactly the inconsistencies between the documents are reported"
    );
}

const KEY: &str = "a-key-of-sixteen-or-more";

yuccalift_testkit::cases! {
    accounts_without_any_map_are_valid: assert_errors(&[("a.yaml", ACCOUNTS.into())], &[]);
    account_uses_collection_without_map: assert_errors(
        &[("a.yaml", ACCOUNTS.into()), ("tags.json", map("tags"))],
        &["a.yaml:7: accounts.farms.collections: found `ewes`, which has no shard map; allowed: tags"],
    );
    target_number_in_two_maps: assert_errors(
        &[("tags.json", map("tags")), ("ewes.json", map("ewes"))],
        &["ewes.json:4: targets[target=7]: found a duplicate target number, first used in tags.json; allowed: target numbers that are unique across shard maps"],
    );
    duplicate_host_and_different_keys: assert_errors(
        &[("1.yaml", daemon("entry-1", KEY)), ("2.yaml", daemon("entry-1", "another-key-of-that-size"))],
        &[
            "2.yaml:1: host: found a duplicate host `entry-1`, first used in 1.yaml; allowed: a different host for each daemon",
            "2.yaml:5: shared_key: found a key that differs from the one in 1.yaml; allowed: the same key for all daemons",
        ],
    );
    more_daemons_than_fleet_bound: assert_errors(
        &[
            ("1.yaml", daemon("entry-1", KEY)),
            ("2.yaml", daemon("entry-2", KEY)),
            ("fleet.json", "{\"daemons\": 1, \"daemons_per_data_centre\": 1}".into()),
        ],
        &["fleet.json:1: daemons: found `1`, but 2 daemons are given; allowed: 2 or more"],
    );
}
