//! Inventories in YAML, in Ansible's form: groups with `hosts`, `children` and `vars`. The variables of a group hold
//! for its hosts and children unless these state their own.

use super::yaml::{self, Node};
use super::{Entry, FACT_NAMES, Fact, Facts, InventoryError, InventoryProblem};
use crate::config::Limits;
use std::collections::BTreeMap;

/// Variables of this program start with it; other ones are the configuration tool's.
const VARIABLE_PREFIX: &str = "brookpass_";

/// Reads all hosts of all groups.
///
/// # Errors
/// [`InventoryError`] with the line of the part at fault.
pub fn parse(text: &str, limits: &Limits) -> Result<Vec<Entry>, InventoryError> {
    let tree = yaml::parse(text, limits)?;
    let mut hosts = Hosts::default();
    for (name, group) in tree.map("the inventory")? {
        hosts.add_group(name, group, &Facts::new())?;
    }
    Ok(hosts.entries)
}

/// Hosts in the order of the file.
#[derive(Default)]
struct Hosts {
    entries: Vec<Entry>,
    index_by_name: BTreeMap<String, usize>,
}

impl Hosts {
    fn add_group(&mut self, name: &str, group: &Node, inherited: &Facts) -> Result<(), InventoryError> {
        let mut facts = inherited.clone();
        for (key, part) in group.map(&format!("group {name:?}"))? {
            match key.as_str() {
                "vars" => read_variables(part, "vars", &mut facts)?,
                "hosts" | "children" => {}
                _ => {
                    let problem =
                        InventoryProblem::UnknownGroupKey { group: name.to_string(), key: key.clone() };
                    return Err(part.error(problem));
                }
            }
        }
        if let Some(hosts) = group.get("hosts") {
            for (host, variables) in hosts.map("hosts")? {
                self.add_host(host, variables, &facts)?;
            }
        }
        if let Some(children) = group.get("children") {
            for (child, part) in children.map("children")? {
                self.add_group(child, part, &facts)?;
            }
        }
        Ok(())
    }

    fn add_host(&mut self, name: &str, variables: &Node, inherited: &Facts) -> Result<(), InventoryError> {
        if name.contains('[') {
            return Err(variables.error(InventoryProblem::Range(name.to_string())));
        }
        let mut facts = inherited.clone();
        read_variables(variables, "a host's variables", &mut facts)?;
        if let Some(index) = self.index_by_name.get(name) {
            return self.entries[*index].merge(facts);
        }
        self.index_by_name.insert(name.to_string(), self.entries.len());
        self.entries.push(Entry { name: name.to_string(), line: variables.line, facts });
        Ok(())
    }
}

impl Entry {
    /// Adds what another group states of this host. A host may be in several groups where these agree.
    fn merge(&mut self, facts: Facts) -> Result<(), InventoryError> {
        for (name, fact) in facts {
            let known = self.facts.entry(name.clone()).or_insert_with(|| fact.clone());
            if known.text != fact.text {
                let problem = InventoryProblem::Conflict {
                    endpoint: self.name.clone(),
                    fact: name,
                    first: known.text.clone(),
                    second: fact.text,
                };
                return Err(InventoryError::new(fact.line, problem));
            }
        }
        Ok(())
    }
}

/// Adds what the variables of a group or host state: some of Ansible's own, and this program's.
fn read_variables(node: &Node, what: &str, facts: &mut Facts) -> Result<(), InventoryError> {
    for (key, value) in node.map(what)? {
        let name = match key.as_str() {
            "ansible_host" => "address",
            "ansible_port" => "port",
            _ => match key.strip_prefix(VARIABLE_PREFIX) {
                Some(name) if FACT_NAMES.contains(&name) => name,
                Some(_) => return Err(value.error(InventoryProblem::UnknownVariable(key.clone()))),
                None => continue,
            },
        };
        let fact = Fact { text: value.scalar(key)?.to_string(), line: value.line };
        facts.insert(name.to_string(), fact);
    }
    Ok(())
}
