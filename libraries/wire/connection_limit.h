// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>

namespace postpaddle::wire {

/// Whether a listener takes further connections, for a readiness check.
///
/// Once the limit is reached it does so again only when a part of it is free. Otherwise the answer would
/// change with each connection, and a balancer that acts on it later would send more than there is room for.
class connection_limit {
public:
    explicit connection_limit(std::size_t connections) : connections(connections) {}

    /// To be called with each change of the number of open connections.
    void set_open(std::size_t open) {
        this->open = open;
        if (!this->may_open())
            this->was_reached = true;
        else if (open * free_divisor < this->connections * (free_divisor - 1))
            this->was_reached = false;
    }

    /// Whether a further connection is within the limit.
    [[nodiscard]] bool may_open() const { return this->open < this->connections; }
    [[nodiscard]] bool has_room() const { return !this->was_reached; }

private:
    /// More than one part in so many must be free.
    static constexpr std::size_t free_divisor = 10;

    std::size_t connections;
    std::size_t open = 0;
    bool was_reached = false;
};

} // namespace postpaddle::wire
