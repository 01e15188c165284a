// SPDX-License-Identifier: BSD-2-Clause
#include <settings/gateway_policy.h>

namespace postpaddle::settings {

const std::vector<policy_field>& policy_fields() {
    static const std::vector<policy_field> fields = {
        {"search_held_prompts", &gateway_policy::find_retained_prompts},
        {"rerun_where_held", &gateway_policy::rerun_where_retained},
        {"refuse_early", &gateway_policy::refuse_early},
        {"order_by_first_try", &gateway_policy::order_by_first_try},
        {"reserve_in_order", &gateway_policy::reserve_in_order},
        {"late_prompts_yield", &gateway_policy::defer_late_prompts},
        {"avoid_shut_engines", &gateway_policy::avoid_closed_engines},
        {"move_engines", &gateway_policy::move_engines},
        {"tell_loads", &gateway_policy::report_loads},
        {"doubt_memory", &gateway_policy::infer_unreported_memory},
        {"try_before_lapse", &gateway_policy::try_before_expiry},
        {"wait_for_first_beliefs", &gateway_policy::wait_for_initial_state},
        {"admit_by_load", &gateway_policy::admit_by_load},
        {"order_by_rank", &gateway_policy::order_by_rank},
        {"share_fairly", &gateway_policy::share_fairly},
        {"exchange_pace", &gateway_policy::exchange_pace},
        {"recheck_decode_engine", &gateway_policy::recheck_decode_engine},
        {"forward_unreachable", &gateway_policy::forward_unreachable},
    };
    return fields;
}

gateway_policy read_policy(node_reader reader) {
    gateway_policy policy;
    for (const policy_field& field : policy_fields())
        policy.*field.value = reader.flag(field.name, policy.*field.value);
    reader.check_unknown_fields();
    return policy;
}

} // namespace postpaddle::settings
