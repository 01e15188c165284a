// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <settings/problem.h>

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <vector>

namespace postpaddle::settings {

/// What an upstream is.
enum class upstream_kind {
    engine, ///< Model engine: prefill, decode, or both by pool.
    plain,  ///< Ordinary HTTP service.
};

/// Whether an upstream refuses orders whose fencing token is old.
enum class order_check { checks, does_not_check };

/// One upstream of the tree.
struct upstream_settings {
    base::upstream_id id;
    std::string address; ///< IP number and port.
    upstream_kind kind = upstream_kind::engine;
    base::zone_id availability_zone;
    order_check orders = order_check::does_not_check;
    bool is_leaving = false;                  ///< Operators' word that it gets no new work.
    int decode_places = 32;                   ///< Requests decoded at once.
    double prompt_tokens_per_second = 20'000; ///< First estimate of prefill speed.
    double seconds_per_token = 0.02;          ///< First estimate of decode speed.

    bool operator==(const upstream_settings&) const = default;
};

/// When engines of a deployment are moved between its pools; off unless the operators say otherwise.
struct balance_settings {
    bool is_enabled = false;
    double high = 0.9;              ///< A pool this full needs help.
    double low = 0.5;               ///< A pool this empty can spare an engine.
    double sustained_seconds = 60;  ///< For this long without a break.
    double cool_down_seconds = 300; ///< Between two moves.

    bool operator==(const balance_settings&) const = default;
};

/// A model with its separate pools.
struct deployment_settings {
    std::string name;
    base::model_id model;
    std::string version;
    std::vector<base::upstream_id> prefill_pool;
    std::vector<base::upstream_id> decode_pool;
    double kv_bytes_per_token = 131'072;
    double kept_seconds = 3; ///< How long a prefill result is kept by its engine.
    balance_settings balance;

    bool operator==(const deployment_settings&) const = default;
};

/// Rate of KV transfers from one availability zone to another.
struct link_settings {
    base::zone_id from;
    base::zone_id to;
    double bytes_per_second = 1e9;
    double latency_seconds = 0.001;

    bool operator==(const link_settings&) const = default;
};

/// One value an organisation sets, with the line it stands on.
struct setting_value {
    std::string text;
    int line = 0;

    bool operator==(const setting_value&) const = default;
};

/// One level of the tree. The root's name is empty.
struct organisation_settings {
    std::string name;
    std::vector<std::string> key_hashes;            ///< SHA-256 of callers' keys, hexadecimal.
    std::map<std::string, setting_value> overrides; ///< Field path → value.
    std::vector<organisation_settings> children;

    bool operator==(const organisation_settings&) const = default;
};

/// The operators' whole document.
struct settings_tree {
    std::map<base::upstream_id, upstream_settings> upstreams;
    std::map<std::string, deployment_settings> deployments;
    std::vector<link_settings> links;
    organisation_settings root;

    bool operator==(const settings_tree&) const = default;
};

/// Reads and checks the operators' document, naming every problem at once.
[[nodiscard]] tl::expected<settings_tree, problems> parse_settings_tree(const std::string& text,
                                                                        const std::string& file);

/// An effective value and the organisation whose level set it; empty origin for a built-in default.
struct effective_value {
    std::string text;
    std::string origin;

    bool operator==(const effective_value&) const = default;
};

/// Every field's effective value for one organisation: its own, its parents', or the default.
using effective_values = std::map<std::string, effective_value>;

/// The levels from the root down to `path`; empty when there is no such organisation.
[[nodiscard]] std::vector<const organisation_settings*> levels_of(const settings_tree& tree,
                                                                  const base::organisation_id& path);

/// Inherits field by field from the root down to `path`; empty when there is no such organisation.
[[nodiscard]] effective_values effective_values_of(const settings_tree& tree,
                                                   const base::organisation_id& path);

/// Every organisation of the tree with its path, parents first.
[[nodiscard]] std::vector<std::pair<base::organisation_id, const organisation_settings*>>
all_organisations(const settings_tree& tree);

} // namespace postpaddle::settings
