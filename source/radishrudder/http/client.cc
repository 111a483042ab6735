#include "radishrudder/http/client.h"

#include <curl/curl.h>

#include <algorithm>
#include <future>
#include <mutex>
#include <new>
#include <thread>
#include <unordered_map>
#include <utility>

#include "source/radishrudder/http/client_transfer.h"

namespace radishrudder::http {
namespace {

constexpr int kPollMilliseconds = 1000;

void InitialiseCurlOnce() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(result);
}

struct CloseMulti {
  void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};

}  // namespace

struct Client::Implementation {
  using TransferPointer = std::unique_ptr<ClientTransfer>;

  Implementation() : multi((InitialiseCurlOnce(), curl_multi_init())) {
    if (!multi) {
      throw std::bad_alloc();
    }
    thread = std::thread([this] { Run(); });
  }

  void Run() {
    while (TakeCommands()) {
      int running = 0;
      curl_multi_perform(multi.get(), &running);
      FinishEnded();
      curl_multi_poll(multi.get(), nullptr, 0, kPollMilliseconds, nullptr);
    }
    CancelAll();
  }

  // Takes the transfer for the thread, unless the client ends; returns its
  // number.
  std::uint64_t Enqueue(TransferPointer& transfer) {
    const std::lock_guard lock(mutex);
    ++last_number;
    if (!ending) {
      pending_starts.emplace_back(last_number, std::move(transfer));
    }
    return last_number;
  }

  // Returns false when the client ends.
  bool TakeCommands() {
    std::vector<std::pair<std::uint64_t, TransferPointer>> starts;
    std::vector<std::uint64_t> cancels;
    bool go_on = false;
    {
      const std::lock_guard lock(mutex);
      starts.swap(pending_starts);
      cancels.swap(pending_cancels);
      go_on = !ending;
    }
    for (auto& [number, transfer] : starts) {
      curl_multi_add_handle(multi.get(), transfer->Handle());
      numbers.emplace(transfer->Handle(), number);
      transfers.emplace(number, std::move(transfer));
    }
    for (const std::uint64_t number : cancels) {
      Cancel(number);
    }
    return go_on;
  }

  void FinishEnded() {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi.get(), &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      // The message does not outlive its handle.
      const CURLcode code = message->data.result;
      Remove(numbers.at(message->easy_handle))->Finish(code);
    }
  }

  void Cancel(std::uint64_t number) {
    if (transfers.contains(number)) {
      Remove(number)->FinishWith(
          std::make_error_code(std::errc::operation_canceled));
    }
  }

  void CancelAll() {
    while (!transfers.empty()) {
      Cancel(transfers.begin()->first);
    }
  }

  TransferPointer Remove(std::uint64_t number) {
    auto node = transfers.extract(number);
    TransferPointer transfer = std::move(node.mapped());
    curl_multi_remove_handle(multi.get(), transfer->Handle());
    numbers.erase(transfer->Handle());
    return transfer;
  }

  std::unique_ptr<CURLM, CloseMulti> multi;

  std::mutex mutex;  // Guards the five members below.
  std::uint64_t last_number = 0;
  std::vector<std::pair<std::uint64_t, TransferPointer>> pending_starts;
  std::vector<std::uint64_t> pending_cancels;
  bool ending = false;
  std::thread thread;

  // Used by the thread only.
  std::unordered_map<std::uint64_t, TransferPointer> transfers;
  std::unordered_map<CURL*, std::uint64_t> numbers;
};

Client::Client() : m_implementation(std::make_unique<Implementation>()) {}

Client::~Client() {
  Stop();
}

void Client::Stop() {
  {
    const std::lock_guard lock(m_implementation->mutex);
    m_implementation->ending = true;
  }
  curl_multi_wakeup(m_implementation->multi.get());
  if (m_implementation->thread.joinable()) {
    m_implementation->thread.join();
  }
}

std::uint64_t Client::Start(ClientRequest request, ClientHandlers handlers) {
  auto transfer =
      std::make_unique<ClientTransfer>(std::move(request), std::move(handlers));
  const std::uint64_t number = m_implementation->Enqueue(transfer);
  if (transfer) {
    transfer->FinishWith(std::make_error_code(std::errc::operation_canceled));
  } else {
    curl_multi_wakeup(m_implementation->multi.get());
  }
  return number;
}

void Client::Cancel(std::uint64_t request) {
  {
    const std::lock_guard lock(m_implementation->mutex);
    m_implementation->pending_cancels.push_back(request);
  }
  curl_multi_wakeup(m_implementation->multi.get());
}

std::uint64_t Client::Fetch(ClientRequest request,
                            std::function<void(WholeAnswer)> on_done) {
  auto answer = std::make_shared<WholeAnswer>();
  return Start(
      std::move(request),
      {.on_head =
           [answer](int, std::vector<Header> headers) {
             answer->headers = std::move(headers);
           },
       .on_data = [answer](std::string_view data) { answer->body += data; },
       .on_done =
           [answer, on_done = std::move(on_done)](const ClientResult& result) {
             answer->result = result;
             on_done(std::move(*answer));
           }});
}

WholeAnswer Client::FetchNow(ClientRequest request) {
  std::promise<WholeAnswer> promise;
  Fetch(std::move(request), [&promise](WholeAnswer answer) {
    promise.set_value(std::move(answer));
  });
  return promise.get_future().get();
}

}  // namespace radishrudder::http
