// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/bounded_ring.h>
#include <host/claim_table.h>
#include <wire/asio.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace postpaddle::service {

/// A worker's request to the control thread to claim an idempotency key.
struct claim_query {
    host::claim claim;
    std::int64_t key_milliseconds = 0;
    /// Called on the control thread with the verdict; `pending` where the log did not confirm it in time.
    std::function<void(host::claim_resolution)> answer;
};

/// Passes claims and their outcomes from worker threads to the control thread through bounded rings.
class claim_client {
public:
    explicit claim_client(std::size_t ring_capacity) : query_ring(ring_capacity), end_ring(ring_capacity) {}

    /// Submits a claim and waits up to `timeout` for the verdict. Returns `pending`, on which the request
    /// must not run, where the ring is full or no verdict came in time.
    [[nodiscard]] host::claim_resolution try_claim(const host::claim& claim, std::int64_t key_milliseconds,
                                                   std::chrono::milliseconds timeout,
                                                   wire::asio::io_context& context,
                                                   wire::yield_context yield);
    /// Reports the outcome of a claimed request. Dropped when the ring is full: the outcome then stays
    /// unknown.
    void report_outcome(const host::claim_end& end);

    [[nodiscard]] base::bounded_ring<claim_query>& queries() { return this->query_ring; }
    [[nodiscard]] base::bounded_ring<host::claim_end>& ends() { return this->end_ring; }

private:
    base::bounded_ring<claim_query> query_ring;
    base::bounded_ring<host::claim_end> end_ring;
};

} // namespace postpaddle::service
