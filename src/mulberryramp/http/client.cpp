#include "mulberryramp/http/client.hpp"

#include "mulberryramp/http/transmission.hpp"

#include <algorithm>
#include <curl/curl.h>

namespace mulberryramp {

namespace internal {

constexpr long MaxConnectTimeoutMs = 1000;

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Output) {
  static_cast<std::string *>(Output)->append(Data, Size * Count);
  return Size * Count;
}

/// Describes why a transfer failed. After a transmission these two codes only
/// mean that no second one was made.
ClientError describeFailure(CURL *Handle, CURLcode Code) {
  const bool IsUnsent = sentBytes(Handle) == 0;
  const bool IsSecondRefused = !IsUnsent && (Code == CURLE_COULDNT_CONNECT ||
                                             Code == CURLE_ABORTED_BY_CALLBACK);
  return {curl_easy_strerror(IsSecondRefused ? CURLE_GOT_NOTHING : Code),
          IsUnsent};
}

} // namespace internal

struct HttpClient::Impl {
  CURL *Handle = curl_easy_init();

  tl::expected<ClientResponse, ClientError> run(const std::string &Url,
                                                Millis Timeout) {
    ClientResponse Response;
    const long TimeoutMs = static_cast<long>(Timeout.count());
    curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, TimeoutMs);
    curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                     std::min(TimeoutMs, internal::MaxConnectTimeoutMs));
    curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Handle, CURLOPT_PROXY, "");
    curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, internal::appendBody);
    curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Response.Body);
    const CURLcode Code = curl_easy_perform(Handle);
    if (Code != CURLE_OK) {
      return tl::make_unexpected(internal::describeFailure(Handle, Code));
    }
    long Status = 0;
    curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
    Response.Status = static_cast<int>(Status);
    return Response;
  }
};

HttpClient::HttpClient() : Pimpl{std::make_unique<Impl>()} {}

HttpClient::~HttpClient() { curl_easy_cleanup(Pimpl->Handle); }

tl::expected<ClientResponse, ClientError>
HttpClient::get(const std::string &Url, Millis Timeout) {
  curl_easy_reset(Pimpl->Handle);
  return Pimpl->run(Url, Timeout);
}

tl::expected<ClientResponse, ClientError>
HttpClient::post(const std::string &Url, const std::string &Body,
                 Millis Timeout) {
  curl_easy_reset(Pimpl->Handle);
  curl_slist *Headers =
      curl_slist_append(nullptr, "Content-Type: application/json");
  Headers = curl_slist_append(Headers, "Expect:");
  curl_easy_setopt(Pimpl->Handle, CURLOPT_HTTPHEADER, Headers);
  curl_easy_setopt(Pimpl->Handle, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(Body.size()));
  curl_easy_setopt(Pimpl->Handle, CURLOPT_POSTFIELDS, Body.c_str());
  sendAtMostOnce(Pimpl->Handle);
  auto Response = Pimpl->run(Url, Timeout);
  curl_easy_setopt(Pimpl->Handle, CURLOPT_HTTPHEADER, nullptr);
  curl_slist_free_all(Headers);
  return Response;
}

std::string HttpClient::escape(const std::string &Text) const {
  char *Escaped = curl_easy_escape(Pimpl->Handle, Text.c_str(),
                                   static_cast<int>(Text.size()));
  std::string Result = Escaped == nullptr ? "" : Escaped;
  curl_free(Escaped);
  return Result;
}

} // namespace mulberryramp
