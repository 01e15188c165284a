// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/opening_line.h>

#include <gateway/request_quarantine.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// The first in line looks again after this time: another upstream may have come, or a limit been lifted.
constexpr base::duration look_again = 50ms;
/// A look takes this time at least, whatever time an opening is expected at.
constexpr base::duration least_pause = 5ms;
/// Part of the time left up to which it is worth waiting: the answer takes time, too.
constexpr double waiting_part = 0.75;

/// A request's place in line for as long as it lives. Whoever leaves wakes the one behind.
class line_place {
public:
    line_place(std::deque<wire::boot_timer*>& line, wire::boot_timer& timer) : line(&line), timer(&timer) {
        line.push_back(&timer);
    }
    line_place(const line_place&) = delete;
    line_place(line_place&&) = delete;
    line_place& operator=(const line_place&) = delete;
    line_place& operator=(line_place&&) = delete;
    ~line_place() {
        std::erase(*this->line, this->timer);
        if (!this->line->empty())
            this->line->front()->cancel();
    }

    [[nodiscard]] bool is_first() const { return this->line->front() == this->timer; }

private:
    std::deque<wire::boot_timer*>* line;
    wire::boot_timer* timer;
};

std::optional<decision::service_opening> opening_for(const gateway_request& request) {
    return decision::next_opening(request.state->instances, choice_context_of(request));
}

} // namespace

bool has_opening_line(const gateway_request& request) {
    const auto found = request.state->opening_lines.find(request.service);
    return found != request.state->opening_lines.end() && !found->second.empty();
}

bool await_opening(gateway_request& request, wire::yield_context yield) {
    gateway_state& state = *request.state;
    auto opening = opening_for(request);
    if (!opening)
        return false;
    std::deque<wire::boot_timer*>& line = state.opening_lines[request.service];
    const base::duration wait =
        opening->first - state.clock->now() + opening->spacing * static_cast<int>(line.size());
    request.until_place = wait;
    if (base::to_seconds(wait) > waiting_part * base::to_seconds(time_left(request)))
        return false;
    state.figures->count("waited_for_opening_total");
    wire::boot_timer timer(*state.context);
    const line_place place(line, timer);
    while (time_left(request) > 0ms && !request.cancellation->is_caller_gone &&
           reason_to_stop(request) == nullptr) {
        const base::duration pause =
            opening ? opening->first - state.clock->now() : base::duration(look_again);
        timer.expires_after(std::clamp<base::duration>(pause, least_pause, look_again));
        wire::error_code ignored;
        timer.async_wait(yield[ignored]);
        opening = opening_for(request);
        if (!opening)
            return false;
        if (place.is_first() && opening->first <= state.clock->now())
            return true;
    }
    return false;
}

} // namespace postpaddle::gateway
