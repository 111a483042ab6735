#ifndef RADISHRUDDER_STANDIN_ENGINE_H_
#define RADISHRUDDER_STANDIN_ENGINE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "engine_weights.h"
#include "execution_log.h"
#include "generation.h"
#include "stand_in.h"

namespace radishrudder::standin {

struct EngineSettings {
  std::size_t slots = 8;
  double tokens_per_second = 50;  // Of each running answer.
  bool checks_fence = true;       // Refuses orders with an old fence.
  std::chrono::milliseconds load_time{100};
  std::string executions_file = {};  // For `ExecutionLog`.
};

// Model engine: loads whole, verified weights on order and generates numbered
// tokens. A load takes effect at once for answers in the making too, as their
// events show; whoever orders it must wait for them first.
class Engine : public StandIn {
 public:
  Engine(Scheduler& scheduler, const EngineSettings& settings);

 protected:
  void Answer(const http::Request& request,
              const ResponderPointer& responder) override;

 private:
  // Revision, incarnation and number of an order; compared in this order.
  using Fence = std::array<std::uint64_t, 3>;
  struct Call {
    Generation generation;
    std::size_t execution = 0;
    bool running = false;
    bool ended = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  void AnswerPost(const http::Request& request,
                  const ResponderPointer& responder);
  void PutWeights(const http::Request& request, http::Responder& responder);
  void Order(const http::Request& request, const ResponderPointer& responder);
  void Load(const std::string& digest,
            const Fence& fence,
            const ResponderPointer& responder);
  void ReplyOldFence(http::Responder& responder) const;
  void ReplyStatus(http::Responder& responder) const;
  void Generate(const http::Request& request,
                const ResponderPointer& responder);
  void StartWaiting();
  void Start(const CallPointer& call);
  void Continue(const CallPointer& call);
  void Cancel(const CallPointer& call);
  void Release(const CallPointer& call);

  EngineSettings m_settings;
  EngineWeights m_weights;
  ExecutionLog m_log;
  std::string m_start_id;
  std::string m_running_digest;
  Fence m_fence{};
  std::deque<CallPointer> m_waiting;
  std::size_t m_running = 0;
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_ENGINE_H_
