// SPDX-License-Identifier: BSD-2-Clause
#include <settings/settings_tree.h>

#include <settings/field_rules.h>

#include <boost/algorithm/string.hpp>

#include <algorithm>

namespace postpaddle::settings {

namespace {

using named_organisations = std::vector<std::pair<base::organisation_id, const organisation_settings*>>;

void collect(const organisation_settings& level, const std::string& path, named_organisations& found) {
    found.emplace_back(base::organisation_id{path.empty() ? "/" : path}, &level);
    for (const organisation_settings& child : level.children)
        collect(child, path + "/" + child.name, found);
}

} // namespace

std::vector<const organisation_settings*> levels_of(const settings_tree& tree,
                                                    const base::organisation_id& path) {
    std::vector<std::string> names;
    boost::split(names, path.value, boost::is_any_of("/"), boost::token_compress_on);
    std::vector<const organisation_settings*> levels{&tree.root};
    for (const std::string& name : names) {
        if (name.empty())
            continue;
        const auto& children = levels.back()->children;
        const auto child = std::ranges::find(children, name, &organisation_settings::name);
        if (child == children.end())
            return {};
        levels.push_back(&*child);
    }
    return levels;
}

effective_values effective_values_of(const settings_tree& tree, const base::organisation_id& path) {
    const auto levels = levels_of(tree, path);
    effective_values values;
    if (levels.empty())
        return values;
    for (const field_rule& rule : field_rules())
        if (!rule.is_pattern())
            values[rule.path] = {rule.default_value, ""};
    std::string origin;
    for (const organisation_settings* level : levels) {
        if (!level->name.empty())
            origin += "/" + level->name;
        for (const auto& [field, value] : level->overrides)
            values[field] = {value.text, origin.empty() ? "/" : origin};
    }
    return values;
}

std::vector<std::pair<base::organisation_id, const organisation_settings*>>
all_organisations(const settings_tree& tree) {
    named_organisations found;
    collect(tree.root, "", found);
    return found;
}

} // namespace postpaddle::settings
