// SPDX-License-Identifier: BSD-2-Clause
#include <host/pool_balance.h>

namespace postpaddle::host {

namespace {

pool_move wanted_move(const pool_load& load, const balance_options& options) {
    if (load.prefill >= options.high && load.decode <= options.low)
        return pool_move::to_prefill;
    if (load.decode >= options.high && load.prefill <= options.low)
        return pool_move::to_decode;
    return pool_move::none;
}

} // namespace

pool_move next_pool_move(balance_state& state, const pool_load& load, const balance_options& options,
                         base::time_point now) {
    const pool_move wanted = wanted_move(load, options);
    if (wanted != state.wanted) {
        state.wanted = wanted;
        state.wanted_since = now;
        return pool_move::none;
    }
    const bool is_sustained = now - state.wanted_since >= options.sustained;
    const bool is_cool = !state.has_moved || now - state.last_move >= options.cool_down;
    if (wanted == pool_move::none || !is_sustained || !is_cool)
        return pool_move::none;
    state.has_moved = true;
    state.last_move = now;
    state.wanted_since = now;
    return wanted;
}

} // namespace postpaddle::host
