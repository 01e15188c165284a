// SPDX-License-Identifier: BSD-2-Clause
#include <settings/field_rules.h>
#include <settings/node_reader.h>
#include <settings/settings_tree.h>

#include <boost/algorithm/string.hpp>

#include <algorithm>
#include <cctype>
#include <set>

namespace postpaddle::settings {

namespace {

/// Maximum depth of the organisation tree, which bounds the parser's recursion.
constexpr int max_depth = 16;

upstream_settings read_upstream(node_reader reader, const std::string& name) {
    static constexpr std::int64_t max_decode_slots = 100'000;
    static constexpr double max_rate = 1e9;
    const upstream_settings defaults;
    upstream_settings value;
    value.id.value = name;
    value.address = reader.required_text("address");
    if (!value.address.empty() && !is_ip_and_port(value.address))
        reader.add_problem("address", "an IP number and port", "`" + value.address + "`");
    value.kind = reader.one_of("kind", "engine", {"engine", "plain"}) == "engine" ? upstream_kind::engine
                                                                                  : upstream_kind::plain;
    value.availability_zone.value = reader.required_text("availability_zone");
    value.fencing =
        reader.flag("checks_orders", false) ? fencing_check::checks : fencing_check::does_not_check;
    value.is_leaving = reader.flag("leaving", false);
    value.decode_slots =
        static_cast<int>(reader.integer("decode_places", defaults.decode_slots, {1, max_decode_slots}));
    value.prompt_tokens_per_second =
        reader.number("prompt_tokens_per_second", defaults.prompt_tokens_per_second, {1, max_rate});
    value.seconds_per_token = reader.number("seconds_per_token", defaults.seconds_per_token, {0.000'001, 60});
    reader.check_unknown_fields();
    return value;
}

std::vector<base::upstream_id> read_pool(node_reader& reader, const std::string& key,
                                         const settings_tree& tree) {
    std::vector<base::upstream_id> pool;
    for (const std::string& name : reader.texts(key)) {
        const auto found = tree.upstreams.find({name});
        if (found == tree.upstreams.end())
            reader.add_problem(key, "names of upstreams", "`" + name + "`");
        else if (found->second.kind != upstream_kind::engine)
            reader.add_problem(key, "model engines", "plain upstream `" + name + "`");
        pool.push_back({name});
    }
    if (pool.empty())
        reader.add_problem(key, "at least one upstream", "none");
    return pool;
}

balance_settings read_balance(node_reader reader) {
    static constexpr double max_seconds = 86'400;
    const balance_settings defaults;
    balance_settings value;
    value.is_enabled = reader.flag("enabled", defaults.is_enabled);
    value.high = reader.number("high", defaults.high, {0, 10});
    value.low = reader.number("low", defaults.low, {0, 10});
    value.sustained_seconds =
        reader.number("sustained_seconds", defaults.sustained_seconds, {0, max_seconds});
    value.cool_down_seconds =
        reader.number("cool_down_seconds", defaults.cool_down_seconds, {0, max_seconds});
    reader.check_unknown_fields();
    return value;
}

deployment_settings read_deployment(node_reader reader, const std::string& name, const settings_tree& tree) {
    const deployment_settings defaults;
    deployment_settings value;
    value.name = name;
    value.model.value = reader.required_text("model");
    value.version = reader.text("version", "1");
    value.prefill_pool = read_pool(reader, "prefill_pool", tree);
    value.decode_pool = read_pool(reader, "decode_pool", tree);
    value.kv_bytes_per_token = reader.number("kv_bytes_per_token", defaults.kv_bytes_per_token, {1, 1e9});
    value.balance = read_balance(reader.child("balance"));
    value.kv_retention_seconds = reader.number("kept_seconds", defaults.kv_retention_seconds, {0.01, 3600});
    reader.check_unknown_fields();
    return value;
}

link_settings read_link(node_reader reader) {
    const link_settings defaults;
    link_settings value;
    value.from.value = reader.required_text("from");
    value.to.value = reader.required_text("to");
    value.bytes_per_second = reader.number("bytes_per_second", defaults.bytes_per_second, {1, 1e15});
    value.latency_seconds = reader.number("latency_seconds", defaults.latency_seconds, {0, 10});
    reader.check_unknown_fields();
    return value;
}

/// Flattens a nested map of settings into field paths, and validates each field by its rule.
class settings_flattener {
public:
    settings_flattener(const settings_tree& tree, std::string file, problems& found)
        : tree(&tree), file(std::move(file)), found(&found) {}

    void flatten(const YAML::Node& node, const std::string& prefix, const std::string& display_prefix,
                 std::map<std::string, setting_value>& flattened) {
        for (const auto& field : node) {
            const std::string path = prefix + field.first.Scalar();
            if (field.second.IsMap()) {
                this->flatten(field.second, path + ".", display_prefix, flattened);
                continue;
            }
            this->read_leaf(field.second, path, display_prefix, flattened);
        }
    }

private:
    void read_leaf(const YAML::Node& node, const std::string& path, const std::string& display_prefix,
                   std::map<std::string, setting_value>& flattened) {
        const int line = node.Mark().line + 1;
        const std::string text = leaf_text(node);
        const field_rule* rule = find_rule(path);
        if (rule == nullptr) {
            this->found->push_back(
                {this->file, line, display_prefix + "." + path, "no such field", "an unknown field"});
            return;
        }
        std::string expected = mismatch(*rule, text);
        if (expected.empty())
            expected = this->reference_mismatch(*rule, text);
        if (!expected.empty())
            this->found->push_back(
                {this->file, line, display_prefix + "." + path, expected, "`" + text + "`"});
        flattened[path] = {text, line};
    }

    static std::string leaf_text(const YAML::Node& node) {
        if (node.IsScalar())
            return node.Scalar();
        std::string joined;
        if (node.IsSequence())
            for (const auto& item : node)
                joined += (joined.empty() ? "" : ",") + (item.IsScalar() ? item.Scalar() : std::string("?"));
        return joined;
    }

    [[nodiscard]] std::string reference_mismatch(const field_rule& rule, const std::string& text) const {
        if (rule.kind == field_kind::deployment && !this->tree->deployments.contains(text))
            return "the name of a deployment";
        if (rule.kind != field_kind::upstreams)
            return {};
        std::vector<std::string> names;
        boost::split(names, text, boost::is_any_of(","));
        const bool all_known = std::ranges::all_of(
            names, [this](const std::string& name) { return this->tree->upstreams.contains({name}); });
        return all_known ? "" : "names of upstreams";
    }

    const settings_tree* tree;
    std::string file;
    problems* found;
};

bool is_sha256(const std::string& text) {
    static constexpr std::size_t hexadecimal_digits = 64;
    return text.size() == hexadecimal_digits && std::ranges::all_of(text, [](unsigned char letter) {
               return std::isxdigit(letter) != 0 && std::isupper(letter) == 0;
           });
}

bool is_organisation_name(const std::string& name) {
    return !name.empty() && std::ranges::all_of(name, [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_';
    });
}

/// Reads an organisation and its descendants.
class organisation_reader {
public:
    organisation_reader(const settings_tree& tree, const std::string& file, problems& found)
        : tree(&tree), file(file), found(&found) {}

    organisation_settings read(node_reader reader, const std::string& name, int depth) {
        organisation_settings level;
        level.name = name;
        level.key_hashes = reader.texts("keys");
        for (const std::string& key : level.key_hashes)
            this->check_key(reader, key);
        settings_flattener(*this->tree, this->file, *this->found)
            .flatten(reader.map("settings"), "", reader.path_of("settings"), level.overrides);
        node_reader children = reader.child("organisations");
        if (depth >= max_depth)
            reader.add_problem("organisations", "at most 16 levels", "a deeper one");
        else
            for (const auto& child : reader.map("organisations")) {
                const std::string child_name = child.first.Scalar();
                if (!is_organisation_name(child_name))
                    children.add_problem(child_name, "letters, digits, `-` and `_`", "`" + child_name + "`");
                level.children.push_back(this->read(children.child(child_name), child_name, depth + 1));
            }
        reader.check_unknown_fields();
        return level;
    }

private:
    void check_key(node_reader& reader, const std::string& key) {
        if (!is_sha256(key))
            reader.add_problem("keys", "SHA-256 in lower-case hexadecimal", "something else");
        else if (!this->seen_keys.insert(key).second)
            reader.add_problem("keys", "each key at one organisation", "a key that stands twice");
    }

    const settings_tree* tree;
    std::string file;
    problems* found;
    std::set<std::string> seen_keys;
};

/// Adds a problem for each limit that exceeds the parent's.
void check_caps(const settings_tree& tree, const std::string& file, problems& found) {
    for (const auto& [path, level] : all_organisations(tree)) {
        const auto slash = path.value.rfind('/');
        if (path.value == "/" || slash == std::string::npos)
            continue;
        const std::string parent = slash == 0 ? "/" : path.value.substr(0, slash);
        const effective_values above = effective_values_of(tree, {parent});
        for (const auto& [field, value] : level->overrides) {
            const field_rule* rule = find_rule(field);
            if (rule == nullptr || rule->cap == field_cap::free || !mismatch(*rule, value.text).empty())
                continue;
            const std::string& cap = above.at(field).text;
            if (mismatch(*rule, cap).empty() && std::stod(value.text) > std::stod(cap))
                found.push_back({file, value.line, path.value + ":" + field, "at most the parent's " + cap,
                                 "`" + value.text + "`"});
        }
    }
}

/// Adds a problem for each route without a prefix or upstreams.
void check_routes(const settings_tree& tree, const std::string& file, problems& found) {
    for (const auto& [path, level] : all_organisations(tree)) {
        const effective_values values = effective_values_of(tree, path);
        for (const auto& [field, value] : level->overrides) {
            if (!field.starts_with("routes."))
                continue;
            const std::string route = field.substr(0, field.rfind('.'));
            for (const char* const needed : {".prefix", ".upstreams"})
                if (!values.contains(route + needed))
                    found.push_back(
                        {file, value.line, path.value + ":" + route + needed, "a value", "nothing"});
        }
    }
}

} // namespace

tl::expected<settings_tree, problems> parse_settings_tree(const std::string& text, const std::string& file) {
    problems found;
    settings_tree tree;
    node_reader reader(load_yaml(text, file, found), file, "", found);
    node_reader upstreams = reader.child("upstreams");
    for (const auto& field : reader.map("upstreams")) {
        const std::string name = field.first.Scalar();
        tree.upstreams.emplace(base::upstream_id{name}, read_upstream(upstreams.child(name), name));
    }
    node_reader deployments = reader.child("deployments");
    for (const auto& field : reader.map("deployments")) {
        const std::string name = field.first.Scalar();
        tree.deployments.emplace(name, read_deployment(deployments.child(name), name, tree));
    }
    node_reader links = reader.child("links");
    for (const auto& field : reader.map("links"))
        tree.links.push_back(read_link(links.child(field.first.Scalar())));
    tree.root = organisation_reader(tree, file, found).read(reader.child("root"), "", 0);
    reader.check_unknown_fields();
    if (found.empty())
        check_caps(tree, file, found);
    if (found.empty())
        check_routes(tree, file, found);
    if (!found.empty())
        return tl::make_unexpected(std::move(found));
    return tree;
}

} // namespace postpaddle::settings
