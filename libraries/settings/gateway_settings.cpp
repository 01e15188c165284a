// SPDX-License-Identifier: BSD-2-Clause
#include <settings/gateway_settings.h>

#include <settings/node_reader.h>

namespace postpaddle::settings {

namespace {

using std::chrono::milliseconds;

constexpr double max_milliseconds = 3'600'000;
constexpr std::int64_t max_connections = 100'000;
constexpr double max_memory_mb = 1e6;
constexpr double bytes_per_mb = 1e6;
constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_log_lines = 100'000;
constexpr const char* any_ip = "0.0.0.0";
/// IP number of a host whose settings file gives none.
constexpr const char* default_ip = "127.0.0.1";
/// Availability zone of a host whose settings file gives none.
constexpr const char* default_zone = "default";

/// Reads an address; empty if the file doesn't give it.
std::string read_address(node_reader& reader, const std::string& key) {
    std::string address = reader.text(key, "");
    const bool is_port_alone = address.starts_with(':');
    if (!address.empty() && !is_ip_and_port(is_port_alone ? any_ip + address : address))
        reader.add_problem(key, "an IP number and port", "`" + address + "`");
    return address;
}

/// The IP number of the first address that has one.
std::string find_ip(const std::vector<std::string>& addresses) {
    for (const std::string& address : addresses)
        if (const auto colon = address.rfind(':'); colon != std::string::npos && colon > 0)
            return address.substr(0, colon);
    return default_ip;
}

/// Adds what an address to listen at lacks: the host's own IP number, and a port that the system chooses.
std::string complete_address(const std::string& address, const std::string& own_ip) {
    if (address.empty())
        return own_ip + ":0";
    return address.starts_with(':') ? own_ip + address : address;
}

/// Completes the addresses to listen at. A host without a name has its address as one, which no other has.
void complete_own_addresses(gateway_settings& value) {
    const std::string own_ip = find_ip({value.peers, value.callers, value.readiness, value.metrics});
    if (value.name.value.empty())
        value.name.value = value.peers.empty() ? own_ip : value.peers;
    value.callers = complete_address(value.callers, own_ip);
    value.readiness = complete_address(value.readiness, own_ip);
    value.peers = complete_address(value.peers, own_ip);
    if (!value.metrics.empty())
        value.metrics = complete_address(value.metrics, own_ip);
}

milliseconds read_milliseconds(node_reader& reader, const std::string& key, milliseconds default_value) {
    const double count =
        reader.number(key, static_cast<double>(default_value.count()), {1, max_milliseconds});
    return milliseconds(static_cast<std::int64_t>(count));
}

milliseconds read_seconds(node_reader& reader, const std::string& key, milliseconds default_value) {
    static constexpr double max_seconds = 3'600;
    static constexpr double thousand = 1'000;
    const double seconds =
        reader.number(key, static_cast<double>(default_value.count()) / thousand, {0.001, max_seconds});
    return milliseconds(static_cast<std::int64_t>(seconds * thousand));
}

retry_budget_settings read_retries(node_reader reader) {
    static constexpr double max_slack = 1e6;
    const retry_budget_settings defaults;
    retry_budget_settings value;
    value.ratio = reader.number("ratio", defaults.ratio, {0, 1});
    value.slack = reader.number("slack", defaults.slack, {0, max_slack});
    value.window = read_seconds(reader, "window_s", defaults.window);
    reader.check_unknown_fields();
    return value;
}

std::vector<std::string> read_seeds(node_reader& reader) {
    std::vector<std::string> seeds = reader.texts("seeds");
    for (const std::string& seed : seeds)
        if (!is_ip_and_port(seed))
            reader.add_problem("seeds", "IP numbers and ports", "`" + seed + "`");
    return seeds;
}

std::map<base::zone_id, base::region_id> read_regions(node_reader& reader) {
    std::map<base::zone_id, base::region_id> regions;
    for (const auto& item : reader.map("regions")) {
        if (item.first.IsScalar() && item.second.IsScalar())
            regions[{item.first.Scalar()}] = {item.second.Scalar()};
        else
            reader.add_problem("regions", "the region of each availability zone", "another value");
    }
    return regions;
}

} // namespace

bool is_gateway_document(const std::string& text) {
    problems ignored;
    const YAML::Node node = load_yaml(text, "", ignored);
    return node.IsMap() && node["role"] && node["role"].IsScalar() && node["role"].Scalar() == "gateway";
}

tl::expected<gateway_settings, problems> parse_gateway_settings(const std::string& text,
                                                                const std::string& file) {
    problems found;
    node_reader reader(load_yaml(text, file, found), file, "", found);
    const gateway_settings defaults;
    gateway_settings value;
    (void)reader.one_of("role", "gateway", {"gateway"});
    value.name.value = reader.text("name", "");
    value.availability_zone.value = reader.text("availability_zone", default_zone);
    value.regions = read_regions(reader);
    value.callers = read_address(reader, "callers");
    value.readiness = read_address(reader, "readiness");
    value.readiness_path = reader.text("readiness_path", defaults.readiness_path);
    value.peers = read_address(reader, "peers");
    value.load_port = static_cast<std::uint16_t>(reader.integer("load_port", 0, {0, max_port}));
    value.metrics = read_address(reader, "metrics");
    value.seeds = read_seeds(reader);
    value.store = read_address(reader, "store");
    complete_own_addresses(value);
    value.grace_period = read_seconds(reader, "grace_s", defaults.grace_period);
    value.balancer_delay = read_milliseconds(reader, "balancer_lag_ms", defaults.balancer_delay);
    value.registry_interval = read_milliseconds(reader, "registry_interval_ms", defaults.registry_interval);
    value.max_settings_delay = read_milliseconds(reader, "settings_bound_ms", defaults.max_settings_delay);
    value.max_leaving_delay = read_milliseconds(reader, "leaving_bound_ms", defaults.max_leaving_delay);
    value.heartbeat = read_milliseconds(reader, "heartbeat_ms", defaults.heartbeat);
    value.connections = static_cast<std::size_t>(
        reader.integer("connections", static_cast<std::int64_t>(defaults.connections), {1, max_connections}));
    value.memory_bytes =
        static_cast<std::uint64_t>(reader.number("memory_mb", 0, {0, max_memory_mb}) * bytes_per_mb);
    value.max_retry_after = reader.number("retry_after_limit_s", defaults.max_retry_after, {0, 3'600});
    value.retries = read_retries(reader.child("retries"));
    value.policy = read_policy(reader.child("policy"));
    value.min_order_pause = read_milliseconds(reader, "order_lease_ms", defaults.min_order_pause);
    value.is_first_start = reader.flag("first_start", defaults.is_first_start);
    value.do_engines_check_tokens = reader.flag("engines_check_tokens", defaults.do_engines_check_tokens);
    value.log_level = reader.one_of("log_level", defaults.log_level, {"debug", "info", "warn", "error"});
    value.log_lines_per_second = static_cast<int>(
        reader.integer("log_lines_per_second", defaults.log_lines_per_second, {1, max_log_lines}));
    reader.check_unknown_fields();
    if (!found.empty())
        return tl::make_unexpected(std::move(found));
    return value;
}

} // namespace postpaddle::settings
