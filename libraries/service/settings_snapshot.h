// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <decision/topology.h>
#include <settings/key_table.h>
#include <settings/organisation_policy.h>
#include <settings/settings_log.h>

#include <map>
#include <memory>
#include <string_view>

namespace postpaddle::service {

/// Immutable view of the active settings, prepared for request handling.
struct settings_snapshot {
    settings::log_offset revision = 0;
    settings::log_offset next_offset = 1;
    std::shared_ptr<const settings::settings_tree> tree;
    settings::key_table keys;
    std::map<base::organisation_id, settings::organisation_policy> policies;
    decision::topology topology;

    /// Returns the policy of the organisation that owns the API key, or null if the key is unknown.
    [[nodiscard]] const settings::organisation_policy* policy_of_key(std::string_view key) const;
};

using settings_pointer = std::shared_ptr<const settings_snapshot>;

/// Builds a snapshot. `state` must have active settings.
[[nodiscard]] settings_pointer make_snapshot(const settings::settings_state& state);

} // namespace postpaddle::service
