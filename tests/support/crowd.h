// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace postpaddle::test {

/// What each client of a crowd sends: a beginning, then the same bytes again and again.
struct crowd_plan {
    std::string begin{};
    std::string repeated{};
    std::size_t repeated_bytes = 0; ///< Sent in all of `repeated`, its last copy cut short.
    std::string end{};
    int clients = 0;
    bool is_each_from_own_address = false; ///< Of 127.0.0.0/8; otherwise all come from one.
    bool does_reset = false;               ///< Whether they reset their connections in place of closing them.
};

/// Clients that keep no limit: each sends what its plan says, reads nothing and leaves its connection open.
class crowd {
public:
    /// Connects all clients. One that can't connect counts as closed.
    crowd(const std::string& address, const crowd_plan& plan);
    crowd(const crowd&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(const crowd&) = delete;
    crowd& operator=(crowd&&) = delete;
    ~crowd();

    /// Sends until each client has sent everything and the peer's system has it, or was closed; ends after
    /// that time, so that a peer which reads nothing more can't hold up its caller for good.
    void send_all(std::chrono::milliseconds at_most = std::chrono::seconds(60));
    /// Clients whose connection the peer has not closed.
    [[nodiscard]] int open() const;

private:
    struct client {
        int descriptor = -1; ///< -1 once the connection is closed.
        std::size_t sent = 0;
    };
    /// Sends what fits. Returns whether anything is left to send or to be acknowledged.
    bool advance(client& each) const;
    [[nodiscard]] std::string next_bytes(std::size_t sent) const;

    crowd_plan plan;
    std::size_t total_bytes;
    std::vector<client> clients;
};

} // namespace postpaddle::test
