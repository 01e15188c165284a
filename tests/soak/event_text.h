// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::soak {

/// An event of a stand-in's stream.
struct stream_event {
    int id = 0;
    std::string version; ///< Software version of its engine; empty if it names none.
};

/// The whole events at the beginning of a stream or of a part of it, up to the first that is cut off or none
/// of the stand-in's.
[[nodiscard]] std::vector<stream_event> parse_events(std::string_view text);

} // namespace postpaddle::soak
