// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <map>
#include <string>

namespace postpaddle::service {

/// Fields of a log line besides its event.
using log_fields = std::map<std::string, std::string>;

/// Starts logging to standard error, one JSON object a line.
void start_log(const std::string& level, const std::string& host);

/// A change of state that is part of ordinary life.
void log_info(const std::string& event, const log_fields& fields = {});
/// A change of state that somebody should look at.
void log_warning(const std::string& event, const log_fields& fields = {});

} // namespace postpaddle::service
