// SPDX-License-Identifier: BSD-2-Clause
#include <decision/attempt_result.h>

namespace postpaddle::decision {

const char* to_text(attempt_result result) {
    switch (result) {
    case attempt_result::answered:
        return "answered";
    case attempt_result::server_error:
        return "server_error";
    case attempt_result::not_connected:
        return "not_connected";
    case attempt_result::not_run:
        return "not_run";
    case attempt_result::broken:
        return "broken";
    case attempt_result::late:
        return "late";
    }
    return "unknown";
}

} // namespace postpaddle::decision
