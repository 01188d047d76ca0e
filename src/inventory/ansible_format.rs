//! Inventories in Ansible's YAML format: groups with `hosts`, `children` and `vars`. The variables of a group apply to
//! its hosts and children unless these override them.

use super::yaml::{self, Node};
use super::{Entry, FIELD_NAMES, Field, Fields, InventoryError, InventoryProblem};
use crate::config::Limits;
use std::collections::BTreeMap;

/// Prefix of this program's variables. Other variables belong to the configuration tool.
const VARIABLE_PREFIX: &str = "brookpass_";

/// Parses the hosts of all groups.
///
/// # Errors
/// [`InventoryError`] with the line of the first problem.
pub fn parse(text: &str, limits: &Limits) -> Result<Vec<Entry>, InventoryError> {
    let tree = yaml::parse(text, limits)?;
    let mut hosts = HostCollector::default();
    for (name, group) in tree.map("the inventory")? {
        hosts.add_group(name, group, &Fields::new())?;
    }
    Ok(hosts.entries)
}

/// The hosts read so far, in the order of the file.
#[derive(Default)]
struct HostCollector {
    entries: Vec<Entry>,
    index_by_name: BTreeMap<String, usize>,
}

impl HostCollector {
    fn add_group(&mut self, name: &str, group: &Node, inherited: &Fields) -> Result<(), InventoryError> {
        let mut fields = inherited.clone();
        for (key, part) in group.map(&format!("group {name:?}"))? {
            match key.as_str() {
                "vars" => read_variables(part, "vars", &mut fields)?,
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
                self.add_host(host, variables, &fields)?;
            }
        }
        if let Some(children) = group.get("children") {
            for (child, part) in children.map("children")? {
                self.add_group(child, part, &fields)?;
            }
        }
        Ok(())
    }

    fn add_host(&mut self, name: &str, variables: &Node, inherited: &Fields) -> Result<(), InventoryError> {
        if name.contains('[') {
            return Err(variables.error(InventoryProblem::HostRange(name.to_string())));
        }
        let mut fields = inherited.clone();
        read_variables(variables, "a host's variables", &mut fields)?;
        if let Some(index) = self.index_by_name.get(name) {
            return self.entries[*index].merge(fields);
        }
        self.index_by_name.insert(name.to_string(), self.entries.len());
        self.entries.push(Entry { name: name.to_string(), line: variables.line, fields });
        Ok(())
    }
}

impl Entry {
    /// Adds the values that another group sets for this host. A host may be in several groups if their values agree.
    fn merge(&mut self, fields: Fields) -> Result<(), InventoryError> {
        for (name, field) in fields {
            let known = self.fields.entry(name.clone()).or_insert_with(|| field.clone());
            if known.text != field.text {
                let problem = InventoryProblem::ConflictingValues {
                    endpoint: self.name.clone(),
                    field: name,
                    first: known.text.clone(),
                    second: field.text,
                };
                return Err(InventoryError::new(field.line, problem));
            }
        }
        Ok(())
    }
}

/// Adds the variables of a group or host to `fields`: this program's, and Ansible's host and port.
fn read_variables(node: &Node, what: &str, fields: &mut Fields) -> Result<(), InventoryError> {
    for (key, value) in node.map(what)? {
        let name = match key.as_str() {
            "ansible_host" => "address",
            "ansible_port" => "port",
            _ => match key.strip_prefix(VARIABLE_PREFIX) {
                Some(name) if FIELD_NAMES.contains(&name) => name,
                Some(_) => return Err(value.error(InventoryProblem::UnknownVariable(key.clone()))),
                None => continue,
            },
        };
        let field = Field { text: value.scalar(key)?.to_string(), line: value.line };
        fields.insert(name.to_string(), field);
    }
    Ok(())
}
