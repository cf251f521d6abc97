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

/// @brief Error response to a request that is not executed.
struct ApiError {
  int Status = 400; ///< HTTP status.
  Findings Report;  ///< What is wrong with the request.
};

/// @brief Liveness probe, `GET /healthz`.
struct HealthQuery {};
/// @brief Readiness probe of the load balancer, `GET /readyz`.
struct ReadyQuery {};
/// @brief Scrape of the metrics, `GET /metrics`.
struct MetricsQuery {};

/// @brief Operation that an HTTP request invokes.
using ApiAction = std::variant<CallRequest, WorkerPoll, HealthQuery, ReadyQuery,
                               MetricsQuery>;

/// @brief Parses and validates an HTTP request.
/// @param Request The request.
/// @param WallNow Time of receipt.
/// @return The operation, or the status and all findings.
[[nodiscard]] tl::expected<ApiAction, ApiError>
parseApiRequest(const HttpRequest &Request, WallTime WallNow);

/// @brief Maps the status of a result to an HTTP status.
[[nodiscard]] int httpStatusOf(const CallResult &Result);

/// @brief Renders a result as JSON.
[[nodiscard]] std::string renderResult(const CallResult &Result);

/// @brief Renders findings as JSON.
[[nodiscard]] std::string renderFindings(const Findings &Report);

/// @brief Renders the reply to a poll of a worker as JSON.
[[nodiscard]] std::string renderReply(const WorkerReply &Reply);

} // namespace mulberryramp
