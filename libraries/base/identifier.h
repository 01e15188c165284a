// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <compare>
#include <functional>
#include <string>

namespace postpaddle::base {

/// A name that can't be mixed up with a name of another kind.
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
/// Name of a region: availability zones that lie near each other.
using region_id = identifier<struct region_tag>;
/// Name of one request, unique over hosts and restarts.
using request_id = identifier<struct request_tag>;
/// Name of a model as callers write it.
using model_id = identifier<struct model_tag>;

} // namespace postpaddle::base

template <class Tag> struct std::hash<postpaddle::base::identifier<Tag>> {
    std::size_t operator()(const postpaddle::base::identifier<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value);
    }
};
