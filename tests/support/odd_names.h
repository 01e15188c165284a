// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <vector>

namespace postpaddle::test {

/// A name that whoever writes an entry may give it.
struct odd_name {
    std::string title; ///< What it holds.
    std::string name;  ///< Any bytes; a surrogate without a partner as three bytes that are no UTF-8.
    bool is_unicode = true;
};

/// Names that are read for something else where they stand unencoded in a target, a head, a path or a list.
[[nodiscard]] std::vector<odd_name> odd_names();

/// Topic to which a name of the table appends a record, if a host sends the request that the name holds.
inline constexpr const char* injected_topic = "keyed.injected";

} // namespace postpaddle::test
