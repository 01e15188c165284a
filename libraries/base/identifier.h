// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <compare>
#include <functional>
#include <string>

namespace postpaddle::base {

/// Strongly typed string identifier.
template <class Tag> struct identifier {
    std::string value;

    auto operator<=>(const identifier&) const = default;
    [[nodiscard]] bool is_empty() const { return this->value.empty(); }
};

/// Path of an organisation in the settings tree, such as `/mauritius/studio-a`.
using organisation_id = identifier<struct organisation_tag>;
/// Name of an upstream in the settings tree.
using upstream_id = identifier<struct upstream_tag>;
/// Name of an entry host.
using host_id = identifier<struct host_tag>;
/// Name of an availability zone.
using zone_id = identifier<struct zone_tag>;
/// Name of a region, a group of nearby availability zones.
using region_id = identifier<struct region_tag>;
/// Identifier of a request, unique across hosts and restarts.
using request_id = identifier<struct request_tag>;
/// Name of a model as it appears in callers' requests.
using model_id = identifier<struct model_tag>;

} // namespace postpaddle::base

template <class Tag> struct std::hash<postpaddle::base::identifier<Tag>> {
    std::size_t operator()(const postpaddle::base::identifier<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value);
    }
};
