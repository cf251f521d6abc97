#pragma once

#include "mulberryramp/cell/call.hpp"
#include "mulberryramp/cell/order.hpp"
#include "mulberryramp/http/async_client.hpp"
#include "mulberryramp/http/server.hpp"

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace mulberryramp {

/// @brief HTTP listener that received a request: the one for callers, or the
/// one for workers and operators.
enum class Listener : std::uint8_t { Callers, Control };

/// @brief Properties of a call that are needed to encode its answer.
struct CallType {
  std::size_t VariantIndex = 0; ///< Index of the alternative of `CellCall`.
  JobVerb Verb = JobVerb::Read; ///< Only used for a `JobCall`.
};

/// @brief Answer to a request whose body a limit refused.
struct RefusedBodyAnswer {
  HttpResponse Response;
  /// Read of the job of a submission. If the job exists, it was accepted
  /// before and the submission is answered as accepted; otherwise `Response`
  /// is sent.
  std::optional<CellCall> Check;
};

/// @brief Translates between HTTP messages and the calls, orders and advice
/// queries of a cell. Each deployment implements it for its own protocol; the
/// daemon depends on this interface only.
class Gateway {
public:
  virtual ~Gateway() = default;

  /// @brief Decodes a call.
  /// @param Source Listener that received the request.
  /// @param Request The request.
  /// @return The call, or the error response to an invalid request.
  [[nodiscard]] virtual tl::expected<CellCall, HttpResponse>
  decodeCall(Listener Source, const HttpRequest &Request) const = 0;

  /// @brief Decodes the check that decides how a request that `decodeCall`
  /// rejects is answered: whether its caller may use the queue is told first,
  /// and the error of the request only if it may.
  /// @return The check, or nothing if the error is answered at once.
  [[nodiscard]] virtual std::optional<CellCall>
  decodeCheck(Listener Source, const HttpRequest &Request) const = 0;

  /// @brief Decides how a request with a refused body is answered. A response
  /// that is sent without a check must not say that a submission under the
  /// same name was not accepted.
  /// @param Source Listener that received the request.
  /// @param Request The request; `RefusedBy` is set and the body is empty.
  [[nodiscard]] virtual RefusedBodyAnswer
  answerRefusedBody(Listener Source, const HttpRequest &Request) const = 0;

  /// @brief Encodes the answer to a call.
  /// @param Call Properties of the call.
  /// @param Reply Answer of the cell.
  /// @param ControlAddress Address of the leader's control listener, to which
  /// a worker may send its next report; empty if no leader is known.
  [[nodiscard]] virtual HttpResponse
  encodeReply(const CallType &Call, const CellReply &Reply,
              const std::string &ControlAddress) const = 0;

  /// @brief Encodes an order to a worker.
  [[nodiscard]] virtual OutboundRequest
  encodeOrder(const WorkerOrder &Order) const = 0;

  /// @brief Decodes a worker's answer to an order.
  /// @param Id Id of the order.
  /// @param Kind Kind of the order.
  /// @param Response The answer; its status is 0 if none arrived.
  /// @return The result. An answer that cannot be decoded counts as none.
  [[nodiscard]] virtual OrderResult
  decodeOrderResult(std::uint64_t Id, WorkerOrderKind Kind,
                    const OutboundResponse &Response) const = 0;

  /// @brief Encodes a query to the advisor.
  [[nodiscard]] virtual OutboundRequest
  encodeAdviceQuery(const AdviceQuery &Query,
                    const Endpoint &Advisor) const = 0;

  /// @brief Decodes the advisor's answer to a query.
  /// @return The advice; `IsAnswered` is false if the answer is unusable.
  [[nodiscard]] virtual AdviceAnswer
  decodeAdvice(const AdviceQuery &Query,
               const OutboundResponse &Response) const = 0;
};

} // namespace mulberryramp
