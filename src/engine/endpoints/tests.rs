use super::*;

fn line(name: &str, availability: Availability) -> EndpointRecord {
    EndpointRecord { availability, ..EndpointRecord::plain(name) }
}

/// Guards against a change that is lost, or a host that stays, between discovery and the core.
#[test]
fn discovery_is_taken_in_whole_and_by_changes() {
    let mut known = EndpointCatalog::default();
    let (x, y) = (line("x", Availability::Ready), line("y", Availability::Ready));
    let told = |whole, entries| EndpointUpdate { index: 1, whole, entries };
    known.take(&told(true, vec![x.clone(), y.clone()]));
    let leaving = line("x", Availability::Draining);
    known.take(&told(false, vec![leaving.clone()]));
    assert_eq!(known.listing().entries, [leaving.clone(), y]);
    known.take(&told(false, vec![line("y", Availability::Gone)]));
    assert_eq!(known.listing().entries, [leaving]);
    known.take(&told(true, vec![line("z", Availability::Ready), line("x", Availability::Gone)]));
    assert_eq!(known.listing().entries, [line("z", Availability::Ready)]);
}

/// Guards against rings that differ between poolers: the address and the order of arrival must not matter.
#[test]
fn an_id_follows_from_the_name_alone() {
    let (mut a, mut b) = (EndpointRegistry::default(), EndpointRegistry::default());
    let ids = [a.id("s-1"), a.id("s-2")];
    assert_eq!([b.id("s-2"), b.id("s-1")], [ids[1], ids[0]]);
    assert_ne!(ids[0], ids[1]);
}

#[test]
fn two_names_never_share_an_id() {
    let mut m = EndpointRegistry::default();
    let same = |_: &str, salt: u8| EndpointId { ip: [1, 2, 3, salt], port: 4 };
    let ids = [m.id_from("a", same), m.id_from("b", same), m.id_from("a", same)];
    assert_eq!(ids[0], ids[2]);
    assert_ne!(ids[0], ids[1]);
}

/// Guards against memory that grows with every host that was ever replaced.
#[test]
fn hosts_that_are_gone_are_forgotten() {
    let mut m = EndpointRegistry::default();
    for n in 0..1000 {
        let (old, new) = (format!("h{n}"), format!("h{}", n + 1));
        let whole = n % 2 == 0;
        let leaves = (!whole).then(|| line(&old, Availability::Gone));
        let entries = leaves.into_iter().chain([line(&new, Availability::Ready)]).collect();
        let (.., changed) = m.apply(&EndpointUpdate { index: n, whole, entries }, false);
        assert_eq!(changed.iter().filter(|h| h.gone && h.name == old).count(), usize::from(n > 0), "{n}");
        assert_eq!((m.ids.len(), m.hosts.len(), m.entries.len()), (1, 1, 1), "{n}");
    }
    m.apply(&EndpointUpdate { index: 1001, whole: true, entries: Vec::new() }, false);
    assert!(m.hosts.is_empty() && m.knows_group(GroupId(1)) && !m.knows_group(GroupId(2)));
}

/// Guards against sends to a host that a whole list no longer names.
#[test]
fn a_host_that_drops_out_of_a_whole_list_is_closed() {
    let mut m = EndpointRegistry::default();
    let both = vec![line("a", Availability::Ready), line("b", Availability::Ready)];
    m.apply(&EndpointUpdate { index: 1, whole: true, entries: both }, false);
    let only = vec![line("a", Availability::Ready)];
    let (.., changed) = m.apply(&EndpointUpdate { index: 2, whole: true, entries: only }, false);
    assert_eq!(changed.iter().map(|h| (h.name.as_str(), h.open)).collect::<Vec<_>>(), [("b", false)]);
}
