#pragma once

#include <curl/curl.h>

#include <cstdint>

/// @file
/// @brief Control over how often libcurl sends a request.

namespace mulberryramp {

/// @brief Makes libcurl send the request of a handle at most once.
///
/// By default libcurl repeats a request on another connection if a reused one
/// ends without an answer. The outcome of the repetition says nothing about
/// the first transmission, which the server may have executed.
/// @param Handle The handle; its callbacks for opening sockets and before
/// requests are replaced.
void sendAtMostOnce(CURL *Handle);

/// @brief Returns the bytes of the request that were written to sockets.
/// @param Handle A handle whose transfer has started.
[[nodiscard]] std::int64_t sentBytes(CURL *Handle);

/// @brief Tells whether a connection was opened for the request of a handle.
[[nodiscard]] bool hasOpenedConnection(CURL *Handle);

} // namespace mulberryramp
