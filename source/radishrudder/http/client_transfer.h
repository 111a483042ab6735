#ifndef RADISHRUDDER_SOURCE_HTTP_CLIENT_TRANSFER_H_
#define RADISHRUDDER_SOURCE_HTTP_CLIENT_TRANSFER_H_

#include <curl/curl.h>

#include <memory>
#include <string_view>
#include <system_error>
#include <vector>

#include "radishrudder/http/client.h"
#include "radishrudder/http/response_rules.h"

namespace radishrudder::http {

// One request in libcurl's hands. Used on the client's thread only.
class ClientTransfer {
 public:
  ClientTransfer(ClientRequest request, ClientHandlers handlers);

  CURL* Handle() const { return m_easy.get(); }
  // Returns the transfer behind a handle.
  static ClientTransfer* Of(CURL* handle);

  // Reports the end that libcurl gave, or that `error` says.
  void Finish(CURLcode code);
  void FinishWith(std::error_code error);

 private:
  struct CloseEasy {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
  };
  struct FreeList {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
  };

  void Configure();
  void ConfigureMethod();
  void ConfigureHeaders();
  void AddHeaderLine(const std::string& line);
  // Returns false if the head is too large or malformed.
  bool TakeHeaderLine(std::string_view line);
  bool TakeData(std::string_view data);
  // Whether the response is whole, at the end that libcurl gave.
  bool IsComplete(CURLcode code) const;
  std::error_code ErrorOf(CURLcode code) const;

  static std::size_t OnHeader(char* data,
                              std::size_t size,
                              std::size_t count,
                              void* transfer);
  static std::size_t OnData(char* data,
                            std::size_t size,
                            std::size_t count,
                            void* transfer);
  static int OnConnected(void* transfer,
                         char* remote_address,
                         char* local_address,
                         int remote_port,
                         int local_port);

  ClientRequest m_request;
  ClientHandlers m_handlers;
  std::unique_ptr<CURL, CloseEasy> m_easy;
  std::unique_ptr<curl_slist, FreeList> m_header_lines;
  std::vector<Header> m_headers;
  ResponseHeadCheck m_head;
  std::size_t m_body_bytes = 0;
  std::size_t m_head_bytes = 0;
  bool m_connected = false;
  bool m_too_large = false;
};

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_SOURCE_HTTP_CLIENT_TRANSFER_H_
