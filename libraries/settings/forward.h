// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::settings {

struct problem;
struct process_settings;
struct settings_tree;
struct organisation_settings;
struct organisation_policy;
struct settings_state;
class node_reader;

} // namespace postpaddle::settings
