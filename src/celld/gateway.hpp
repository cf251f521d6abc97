#pragma once

#include "mulberryramp/cell/call.hpp"
#include "mulberryramp/cell/order.hpp"
#include "mulberryramp/http/async_client.hpp"
#include "mulberryramp/http/server.hpp"

#include <tl/expected.hpp>

#include <string>

namespace mulberryramp {

/// @brief Where an HTTP request came in.
enum class Listener : std::uint8_t { Callers, Control };

/// @brief What of a call its answer depends on.
struct CallType {
  std::size_t Kind = 0; ///< Alternative of `CellCall`.
  JobVerb Verb = JobVerb::Read;
};

/// @brief Translates between HTTP and the calls and orders of a cell; the
/// interface that a deployment's protocol implements.
class Gateway {
public:
  virtual ~Gateway() = default;

  /// @brief Reads a call.
  /// @return The call, or the answer to what is none.
  [[nodiscard]] virtual tl::expected<CellCall, HttpResponse>
  decodeCall(Listener Where, const HttpRequest &Request) const = 0;

  /// @brief Renders the answer to a call.
  /// @param Control Address for the caller's next calls, or empty.
  [[nodiscard]] virtual HttpResponse
  encodeReply(const CallType &Call, const CellReply &Reply,
              const std::string &Control) const = 0;

  /// @brief Renders an order.
  [[nodiscard]] virtual OutboundRequest
  encodeOrder(const WorkerOrder &Order) const = 0;

  /// @brief Reads the answer to an order.
  /// @param Id Number of the order.
  /// @param Kind What was ordered.
  /// @param Response The answer.
  [[nodiscard]] virtual OrderResult
  decodeOrderAnswer(std::uint64_t Id, WorkerOrderKind Kind,
                    const OutboundResponse &Response) const = 0;

  /// @brief Renders a question for the advisor.
  [[nodiscard]] virtual OutboundRequest
  encodeQuestion(const AdviceQuery &Query, const Endpoint &Advisor) const = 0;

  /// @brief Reads the advisor's answer.
  [[nodiscard]] virtual AdviceAnswer
  decodeAdvice(const AdviceQuery &Query,
               const OutboundResponse &Response) const = 0;
};

} // namespace mulberryramp
