#pragma once

#include "mulberryramp/admin/fwd.hpp"
#include "mulberryramp/core/finding.hpp"
#include "mulberryramp/http/request.hpp"
#include "mulberryramp/node/call.hpp"
#include "mulberryramp/worker/message.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace mulberryramp {

/// @brief Why a request is answered without being carried out.
struct ApiError {
  int Status = 400; ///< HTTP status.
  Findings Report;
};

/// @brief Asks for the health of the process.
struct HealthQuery {};
/// @brief Asks whether the balancer may send callers here.
struct ReadyQuery {};
/// @brief Asks for the metrics.
struct MetricsQuery {};

/// @brief What an HTTP request asks for.
using ApiAction = std::variant<CallRequest, WorkerPoll, HealthQuery, ReadyQuery,
                               MetricsQuery>;

/// @brief Understands an HTTP request.
/// @param Request The request.
/// @param Wall When it was received.
/// @return What it asks for, or all findings.
[[nodiscard]] tl::expected<ApiAction, ApiError>
parseApiRequest(const HttpRequest &Request, WallTime WallNow);

/// @brief Chooses the HTTP status of a result.
[[nodiscard]] int httpStatusOf(const CallResult &Result);

/// @brief Renders a result as JSON.
[[nodiscard]] std::string renderResult(const CallResult &Result);

/// @brief Renders findings as JSON.
[[nodiscard]] std::string renderFindings(const Findings &Report);

/// @brief Renders an answer to a worker as JSON.
[[nodiscard]] std::string renderReply(const WorkerReply &Reply);

} // namespace mulberryramp
