// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace postpaddle::base {

/// A mutex-protected queue of fixed capacity for handing items from one thread to another.
///
/// Pushing into a full ring fails immediately, so a producer never blocks on its consumer.
/// `on_ready` runs on the producer's thread whenever the ring becomes non-empty;
/// the consumer uses it to wake its own thread.
template <class T> class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity) : items(capacity) {}

    /// Sets the callback that wakes the consumer. Must be called before the first push.
    void set_on_ready(const std::function<void()>& callback) { this->on_ready = callback; }

    /// Adds an item. Returns false and increments `refused_count` when the ring is full.
    [[nodiscard]] bool try_push(T item) {
        bool was_empty = false;
        {
            const std::lock_guard lock(this->mutex);
            if (this->items.full()) {
                ++this->refused;
                return false;
            }
            was_empty = this->items.empty();
            this->items.push_back(std::move(item));
        }
        if (was_empty && this->on_ready)
            this->on_ready();
        return true;
    }

    /// Removes and returns all items, oldest first.
    [[nodiscard]] std::vector<T> drain() {
        const std::lock_guard lock(this->mutex);
        std::vector<T> taken;
        taken.reserve(this->items.size());
        for (T& item : this->items)
            taken.push_back(std::move(item));
        this->items.clear();
        return taken;
    }

    /// Number of pushes that failed because the ring was full.
    [[nodiscard]] std::uint64_t refused_count() const {
        const std::lock_guard lock(this->mutex);
        return this->refused;
    }

private:
    mutable std::mutex mutex;
    boost::circular_buffer<T> items;
    std::uint64_t refused = 0;
    std::function<void()> on_ready;
};

} // namespace postpaddle::base
