// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace postpaddle::wire {

/// The requests that one connection has carried, by the ids that servers repeat in their answers.
///
/// A server may answer a request once more, at the point where the next answer on the connection is due. The
/// id tells such an answer from the next request's, unless that is the same request. So a request is not sent
/// twice over one connection: then an answer with its id can only be that to its one send there.
class carried_requests {
public:
    /// Beyond this many the connection is closed, which bounds the memory to 8 KiB. A new connection after so
    /// many requests costs next to nothing.
    static constexpr std::size_t max_requests = 1'024;

    /// Adds a request; an empty id stands for all requests without one.
    void add(std::string_view id);
    /// Also true for a request that was not carried but has the hash of one that was, which costs no more
    /// than the use of another connection.
    [[nodiscard]] bool contains(std::string_view id) const;
    /// Whether no further request may be added.
    [[nodiscard]] bool is_full() const { return this->hashes.size() >= max_requests; }

private:
    std::vector<std::uint64_t> hashes;
};

} // namespace postpaddle::wire
