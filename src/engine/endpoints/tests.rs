use super::*;

fn record(name: &str, availability: Availability) -> EndpointRecord {
    EndpointRecord { availability, ..EndpointRecord::plain(name) }
}

/// Guards against changes that get lost between discovery and the engine, and against endpoints that stay after they
/// have left the list.
#[test]
fn the_catalog_follows_whole_lists_and_changes() {
    let mut catalog = EndpointCatalog::default();
    let x = record("x", Availability::Ready);
    let y = record("y", Availability::Ready);
    let update = |coverage, entries| EndpointUpdate { version: 1, coverage, entries };
    catalog.apply(&update(ListCoverage::Complete, vec![x.clone(), y.clone()]));
    let draining = record("x", Availability::Draining);
    catalog.apply(&update(ListCoverage::Changes, vec![draining.clone()]));
    assert_eq!(catalog.whole_list().entries, [draining.clone(), y]);
    catalog.apply(&update(ListCoverage::Changes, vec![record("y", Availability::Gone)]));
    assert_eq!(catalog.whole_list().entries, [draining]);
    catalog.apply(&update(
        ListCoverage::Complete,
        vec![record("z", Availability::Ready), record("x", Availability::Gone)],
    ));
    assert_eq!(catalog.whole_list().entries, [record("z", Availability::Ready)]);
}

/// Guards against a log from which the drains and removals of endpoints cannot be told.
#[test]
fn the_catalog_names_the_endpoints_that_an_update_has_changed() {
    let mut catalog = EndpointCatalog::default();
    let update = |coverage, entries| EndpointUpdate { version: 1, coverage, entries };
    let all = (0..10).map(|number| record(&format!("s-{number}"), Availability::Ready)).collect();
    let changes = catalog.apply(&update(ListCoverage::Complete, all));
    assert_eq!(changes.to_string(), "ready s-0, s-1, s-2, s-3, s-4, s-5, s-6, s-7 and 2 more");
    let changed = vec![
        record("s-1", Availability::Draining),
        record("s-2", Availability::Gone),
        record("s-3", Availability::Ready),
        record("unknown", Availability::Gone),
    ];
    let changes = catalog.apply(&update(ListCoverage::Changes, changed));
    assert_eq!(changes.to_string(), "draining s-1; removed s-2");
    let left = vec![record("s-1", Availability::Ready)];
    let changes = catalog.apply(&update(ListCoverage::Complete, left));
    assert_eq!(changes.to_string(), "ready s-1; removed s-0, s-3, s-4, s-5, s-6, s-7, s-8, s-9");
    assert!(catalog.apply(&update(ListCoverage::Changes, Vec::new())).is_empty());
}

/// Hash rings must be the same at all poolers, whatever the addresses of endpoints and the order in which they arrive.
#[test]
fn an_id_depends_on_the_name_alone() {
    let mut first = EndpointRegistry::default();
    let mut second = EndpointRegistry::default();
    let ids = [first.register("s-1"), first.register("s-2")];
    assert_eq!([second.register("s-2"), second.register("s-1")], [ids[1], ids[0]]);
    assert_ne!(ids[0], ids[1]);
}

#[test]
fn two_names_never_share_an_id() {
    let mut registry = EndpointRegistry::default();
    let collide = |_: &str, salt: u8| EndpointId { ip: [1, 2, 3, salt], port: 4 };
    let ids = [
        registry.register_with_hash("a", collide),
        registry.register_with_hash("b", collide),
        registry.register_with_hash("a", collide),
    ];
    assert_eq!(ids[0], ids[2]);
    assert_ne!(ids[0], ids[1]);
}

/// Guards against memory use that grows with every endpoint that is replaced.
#[test]
fn endpoints_that_have_gone_are_forgotten() {
    let mut registry = EndpointRegistry::default();
    for n in 0..1000 {
        let (old, new) = (format!("h{n}"), format!("h{}", n + 1));
        let coverage = if n % 2 == 0 { ListCoverage::Complete } else { ListCoverage::Changes };
        let removed = (coverage == ListCoverage::Changes).then(|| record(&old, Availability::Gone));
        let entries = removed.into_iter().chain([record(&new, Availability::Ready)]).collect();
        let changed = registry.apply(&EndpointUpdate { version: n, coverage, entries }).changed;
        let gone = changed.iter().filter(|endpoint| endpoint.gone && endpoint.name == old).count();
        assert_eq!(gone, usize::from(n > 0), "{n}");
        let kept = (registry.ids.len(), registry.endpoints.len(), registry.entries.len());
        assert_eq!(kept, (1, 1, 1), "{n}");
    }
    registry.apply(&EndpointUpdate { version: 1001, coverage: ListCoverage::Complete, entries: Vec::new() });
    assert!(
        registry.endpoints.is_empty()
            && registry.knows_group(GroupId(1))
            && !registry.knows_group(GroupId(2))
    );
}

/// No attempt may be sent to an endpoint that is missing from the last whole list.
#[test]
fn an_endpoint_missing_from_a_whole_list_is_closed() {
    let mut registry = EndpointRegistry::default();
    let both = vec![record("a", Availability::Ready), record("b", Availability::Ready)];
    registry.apply(&EndpointUpdate { version: 1, coverage: ListCoverage::Complete, entries: both });
    let only = vec![record("a", Availability::Ready)];
    let changed = registry
        .apply(&EndpointUpdate { version: 2, coverage: ListCoverage::Complete, entries: only })
        .changed;
    let states: Vec<_> = changed.iter().map(|endpoint| (endpoint.name.as_str(), endpoint.open)).collect();
    assert_eq!(states, [("b", false)]);
}

/// The backend pool must be told of an endpoint that changes nothing but its group, so that no connection which was
/// opened for its former group is used.
#[test]
fn an_endpoint_that_moves_to_another_group_is_reported_as_changed() {
    let mut registry = EndpointRegistry::default();
    let update =
        |record| EndpointUpdate { version: 1, coverage: ListCoverage::Changes, entries: vec![record] };
    let applied = registry.apply(&update(record("a", Availability::Ready)));
    assert_eq!((applied.changed.len(), applied.moved), (1, Vec::new()));
    let moved = EndpointRecord { group: GroupId(2), ..record("a", Availability::Ready) };
    let applied = registry.apply(&update(moved.clone()));
    assert_eq!((applied.changed.len(), applied.moved), (1, vec![registry.find("a").unwrap()]));
    let applied = registry.apply(&update(moved));
    assert_eq!((applied.changed.len(), applied.moved), (0, Vec::new()));
}
