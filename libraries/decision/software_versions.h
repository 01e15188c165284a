// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>

#include <map>
#include <optional>
#include <set>
#include <string>

/// What a host knows of the software versions of each service's upstreams, now and in the recent past.
///
/// A host uses a version that is new to it for resumable streams only after a while, so that every host whose
/// registry is up to date knows the version before the first such stream begins.
namespace postpaddle::decision {

/// When a software version of a service was first and last known to be in use.
struct version_sighting {
    base::time_point first{};
    base::time_point last{};

    bool operator==(const version_sighting&) const = default;
};

struct software_versions {
    std::map<std::string, std::map<std::string, version_sighting>> by_service; ///< Then by version.
    /// Since when this host knows all versions: its first read of the registry, or long before if no stream
    /// can have begun until then.
    std::optional<base::time_point> known_since{};

    bool operator==(const software_versions&) const = default;
};

/// Records an upstream's version. Call for each registry entry that is applied or replaced.
void record_version(software_versions& versions, const settings::upstream_entry& entry, base::time_point now);

/// Records the versions of all upstreams of the table, after the whole registry has been read.
void record_all_versions(software_versions& versions, const instance_table& table, base::time_point now);

/// The only software version that any upstream of the service has had for at least `window`. Returns nothing
/// if there were several, or if this host does not know that much of the past.
[[nodiscard]] std::optional<std::string> sole_version(const software_versions& versions,
                                                      const instance_table& table, const std::string& service,
                                                      base::duration window, base::time_point now);

/// The service's versions that are too new for streams to begin at, see above. Empty if no other version is
/// listed.
[[nodiscard]] std::set<std::string> unsettled_versions(const software_versions& versions,
                                                       const instance_table& table,
                                                       const std::string& service,
                                                       base::duration settling_time, base::time_point now);

/// Whether an upstream of that version is listed, so that a stream that began at the version may go on.
[[nodiscard]] bool is_version_listed(const instance_table& table, const std::string& service,
                                     const std::string& version);

} // namespace postpaddle::decision
