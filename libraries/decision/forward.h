// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::decision {

struct router_state;
struct router_options;
struct engine_state;
struct request_state;
struct explanation;
struct request_facts;
class prefix_index;

} // namespace postpaddle::decision
