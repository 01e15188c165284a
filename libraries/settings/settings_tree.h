// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <settings/problem.h>

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <vector>

namespace postpaddle::settings {

/// Kind of an upstream.
enum class upstream_kind {
    engine, ///< Model engine; its pools determine whether it serves prefill, decode or both.
    plain,  ///< Ordinary HTTP service.
};

/// Whether an upstream rejects orders with an outdated fencing token.
enum class fencing_check { checks, does_not_check };

/// Settings of an upstream.
struct upstream_settings {
    base::upstream_id id;
    std::string address; ///< IP number and port.
    upstream_kind kind = upstream_kind::engine;
    base::zone_id availability_zone;
    fencing_check fencing = fencing_check::does_not_check;
    bool is_leaving = false;                  ///< Set by operators: it gets no new work.
    int decode_slots = 32;                    ///< Requests that it decodes concurrently.
    double prompt_tokens_per_second = 20'000; ///< Initial estimate of the prefill throughput.
    double seconds_per_token = 0.02;          ///< Initial estimate of the token latency.

    bool operator==(const upstream_settings&) const = default;
};

/// When engines of a deployment are moved between its pools; disabled by default.
struct balance_settings {
    bool is_enabled = false;
    double high = 0.9;              ///< Load from which a pool receives another engine.
    double low = 0.5;               ///< Load up to which a pool may give an engine away.
    double sustained_seconds = 60;  ///< Time for which the imbalance must persist.
    double cool_down_seconds = 300; ///< Minimum time between two moves.

    bool operator==(const balance_settings&) const = default;
};

/// A model and the engine pools that serve it.
struct deployment_settings {
    std::string name;
    base::model_id model;
    std::string version;
    std::vector<base::upstream_id> prefill_pool;
    std::vector<base::upstream_id> decode_pool;
    double kv_bytes_per_token = 131'072;
    double kv_retention_seconds = 3; ///< Time for which an engine retains the KV cache after a prefill.
    balance_settings balance;

    bool operator==(const deployment_settings&) const = default;
};

/// Bandwidth and latency of KV transfers from one availability zone to another.
struct link_settings {
    base::zone_id from;
    base::zone_id to;
    double bytes_per_second = 1e9;
    double latency_seconds = 0.001;

    bool operator==(const link_settings&) const = default;
};

/// A value that an organisation sets, and its line in the document.
struct setting_value {
    std::string text;
    int line = 0;

    bool operator==(const setting_value&) const = default;
};

/// An organisation and its descendants. The root's name is empty.
struct organisation_settings {
    std::string name;
    std::vector<std::string> key_hashes;            ///< Hexadecimal SHA-256 hashes of callers' keys.
    std::map<std::string, setting_value> overrides; ///< By field path.
    std::vector<organisation_settings> children;

    bool operator==(const organisation_settings&) const = default;
};

/// The operators' settings document.
struct settings_tree {
    std::map<base::upstream_id, upstream_settings> upstreams;
    std::map<std::string, deployment_settings> deployments;
    std::vector<link_settings> links;
    organisation_settings root;

    bool operator==(const settings_tree&) const = default;
};

/// Parses and validates a settings document. The error lists all problems, not only the first.
[[nodiscard]] tl::expected<settings_tree, problems> parse_settings_tree(const std::string& text,
                                                                        const std::string& file);

/// An effective value and the path of the organisation that set it; the origin is empty for a built-in
/// default.
struct effective_value {
    std::string text;
    std::string origin;

    bool operator==(const effective_value&) const = default;
};

/// Effective values of an organisation by field path: its own, an inherited one, or the default.
using effective_values = std::map<std::string, effective_value>;

/// Returns the organisations from the root down to `path`; empty if there is no such organisation.
[[nodiscard]] std::vector<const organisation_settings*> levels_of(const settings_tree& tree,
                                                                  const base::organisation_id& path);

/// Resolves inheritance field by field from the root down to `path`; empty if there is no such organisation.
[[nodiscard]] effective_values effective_values_of(const settings_tree& tree,
                                                   const base::organisation_id& path);

/// Returns every organisation with its path, parents before their children.
[[nodiscard]] std::vector<std::pair<base::organisation_id, const organisation_settings*>>
all_organisations(const settings_tree& tree);

} // namespace postpaddle::settings
