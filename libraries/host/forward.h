// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::host {

struct member;
struct membership_state;
struct share_table;
struct claim_table;
struct lease_table;
struct organisation_limit_table;

} // namespace postpaddle::host
