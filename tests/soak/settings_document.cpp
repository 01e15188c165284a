// SPDX-License-Identifier: BSD-2-Clause
#include <soak/settings_document.h>

#include <random>

namespace postpaddle::soak {

namespace {

using nlohmann::json;

class document_draws {
public:
    explicit document_draws(int draw) : engine(static_cast<std::uint64_t>(draw)) {}

    int between(int low, int high) {
        return low + static_cast<int>(this->engine() % (static_cast<std::uint64_t>(high - low) + 1));
    }

private:
    std::mt19937_64 engine;
};

/// Long enough that neither a silence of 3 s nor a wait for a slot exceeds them.
constexpr int min_timeout_ms = 9'000;
constexpr int max_timeout_ms = 12'000;

json make_route(const std::string& path, const std::string& kind, int attempts, int timeout_ms) {
    return {{"name", "route" + path},  {"host", "cluster.example"}, {"pathPrefix", path},     {"kind", kind},
            {"timeoutMs", timeout_ms}, {"targetLatencyMs", 1'000},  {"maxAttempts", attempts}};
}

json make_stream_route(const std::string& path, int attempts, int timeout_ms, int gap_target_ms) {
    json route = make_route(path, "streaming", attempts, timeout_ms);
    route["service"] = "engines";
    route["resumable"] = attempts > 1;
    route["gapTargetMs"] = gap_target_ms;
    return route;
}

/// Splits a plain route between two services, or moves it as a whole.
json make_plain_route(const std::string& path, const std::string& kind, int timeout_ms, int plain_percent) {
    json route = make_route(path, kind, 2, timeout_ms);
    if (plain_percent == 0 || plain_percent == 100)
        route["service"] = plain_percent == 0 ? "other" : "plain";
    else
        route["trafficSplit"] = {{{"service", "plain"}, {"weight", plain_percent}},
                                 {{"service", "other"}, {"weight", 100 - plain_percent}}};
    return route;
}

} // namespace

std::string probe_path(int version) { return "/at-" + std::to_string(version) + "/"; }

settings_draw make_settings(int version, int draw) {
    document_draws random(draw);
    const int timeout_ms = random.between(min_timeout_ms, max_timeout_ms);
    const int gap_target_ms = random.between(100, 800);
    const int plain_percent = 25 * random.between(0, 4);
    const int idle_ms = random.between(2'000, 15'000);
    const std::size_t body_limit = random.between(0, 1) == 0 ? 65'536 : largest_body_bytes;
    const json engine = {
        {"slots", 16}, {"kvCapacityTokens", 60'000}, {"kvTtlS", 5.0}, {"stride", 1}, {"switchS", 0.5}};
    const json routes = {make_plain_route("/once/", "non_idempotent", timeout_ms, plain_percent),
                         make_plain_route("/again/", "idempotent", timeout_ms, 100 - plain_percent),
                         make_stream_route("/stream/", 1, timeout_ms, gap_target_ms),
                         make_stream_route("/resume/", resumable_attempts, timeout_ms, gap_target_ms),
                         make_plain_route(probe_path(version), "idempotent", timeout_ms, 100)};
    settings_draw result;
    result.document = {{"version", version},
                       {"routes", routes},
                       {"services",
                        {{{"name", "plain"}, {"maxConnections", 50}},
                         {{"name", "other"}, {"maxConnections", 50}},
                         {{"name", "engines"}, {"maxConnections", 50}, {"engine", engine}}}},
                       {"limits",
                        {{"maxHeaderBytes", 4'096},
                         {"maxBodyBytes", body_limit},
                         {"headerTimeoutMs", 3'000},
                         {"idleTimeoutMs", idle_ms}}}};
    result.facts.version = version;
    result.facts.body_limit = body_limit;
    result.facts.shortest_timeout = milliseconds(timeout_ms);
    return result;
}

} // namespace postpaddle::soak
