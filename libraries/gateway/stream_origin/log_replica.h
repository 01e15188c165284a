// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

#include <functional>
#include <optional>
#include <utility>

namespace postpaddle::gateway {

/// Reads a keyed log of the store to its end, for all that ask at the same time together.
///
/// `Page` has `next` and `has_more`, see `ports::control_feed`.
template <class Page> class log_replica {
public:
    struct callbacks {
        /// Reads the newest record of each key. May be behind the log.
        std::function<ports::feed_result<Page>(wire::yield_context)> read_newest;
        /// Reads the records from an offset onwards.
        std::function<ports::feed_result<Page>(std::uint64_t, wire::yield_context)> read_after;
        /// Takes over a page. What can't be read of it costs only itself.
        std::function<void(const Page&)> apply;
        /// Called after each read, with whether it reached the end.
        std::function<void(bool)> did_read;
    };

    log_replica(gateway_state& state, callbacks handlers)
        : state(&state), handlers(std::move(handlers)), end_of_read(*state.context, base::time_point::max()) {
    }

    /// Reads unless a read has begun since the call. Returns whether what has been applied includes all that
    /// the store had at the call.
    [[nodiscard]] bool refresh(wire::yield_context yield) {
        const base::time_point asked = this->state->clock->now();
        while (this->began < asked || this->is_reading) {
            if (!this->is_reading) {
                this->read(yield);
                break;
            }
            wire::error_code ignored;
            this->end_of_read.async_wait(yield[ignored]);
        }
        return this->complete_at && *this->complete_at >= asked;
    }

    /// When the last read began.
    [[nodiscard]] base::time_point read_at() const { return this->began; }
    /// When the last read that reached the end began.
    [[nodiscard]] std::optional<base::time_point> known_at() const { return this->complete_at; }
    /// Where the log ended; empty before the first read and while the history is lost.
    [[nodiscard]] std::optional<std::uint64_t> end() const { return this->next_offset; }

private:
    /// Reads that may find a listing to be behind the log.
    static constexpr int max_listings = 3;

    void read(wire::yield_context yield) {
        this->is_reading = true;
        this->began = this->state->clock->now();
        const base::time_point own_beginning = this->began;
        const bool is_complete = this->read_to_end(yield);
        if (is_complete)
            this->complete_at = own_beginning;
        this->is_reading = false;
        this->handlers.did_read(is_complete);
        this->end_of_read.cancel();
    }

    [[nodiscard]] bool read_to_end(wire::yield_context yield) {
        int listings = 0;
        // A listing may be behind the log, so the end of the log has the last word.
        while (listings < max_listings) {
            if (!this->next_offset) {
                ++listings;
                const auto listing = this->handlers.read_newest(yield);
                if (!listing)
                    return false;
                this->apply(*listing);
            }
            const auto page = this->handlers.read_after(*this->next_offset, yield);
            if (!page && page.error().failure != ports::feed_failure::history_lost)
                return false;
            if (!page) {
                this->next_offset.reset();
                continue;
            }
            this->apply(*page);
            if (!page->has_more)
                return true;
        }
        return false;
    }

    void apply(const Page& page) {
        this->handlers.apply(page);
        this->next_offset = page.next;
    }

    gateway_state* state;
    callbacks handlers;
    std::optional<std::uint64_t> next_offset;
    bool is_reading = false;
    base::time_point began{};
    std::optional<base::time_point> complete_at;
    wire::boot_timer end_of_read; ///< Never expires; cancelled at the end of each read.
};

} // namespace postpaddle::gateway
