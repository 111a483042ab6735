#ifndef MEASURE_SPREAD_HOST_H_
#define MEASURE_SPREAD_HOST_H_

#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/token_bucket.h"
#include "radishrudder/weights/transfer.h"
#include "world.h"

namespace radishrudder::measure {

// One thread with every n-th instance. Messages go through loopback sockets,
// one for each pair of threads; chunks wait for the links of sender, regions
// and receiver. Small messages are counted on the links but don't wait.
class Host {
 public:
  Host(World& world, std::uint32_t number, std::uint32_t hosts);

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  // Connects to every host, by port.
  void Connect(const std::vector<std::uint16_t>& ports);
  void Start(kernel::Time start);
  // Tells the instances who is alive now.
  void TellPeers();
  void Stop();

 private:
  struct Node {
    std::unique_ptr<weights::Transfer> core;  // Empty for the origin.
    kernel::TokenBucket upload;
    kernel::TokenBucket download;
    kernel::Time tick{};  // The tick that is scheduled.
  };
  struct FrameHead {
    std::uint32_t size = 0;
    NodeIndex from = 0;
    NodeIndex to = 0;
  };
  struct Incoming {
    explicit Incoming(asio::ip::tcp::socket socket)
        : socket(std::move(socket)) {}
    asio::ip::tcp::socket socket;
    FrameHead head;
    std::string body;
  };
  struct Outgoing {
    explicit Outgoing(asio::io_context& context) : socket(context) {}
    asio::ip::tcp::socket socket;
    std::deque<std::string> frames;
  };

  void AddNode(NodeIndex index);
  void Accept();
  void Read(const std::shared_ptr<Incoming>& incoming);
  void OnFrame(const FrameHead& head, std::string body);
  void Deliver(const FrameHead& head, const std::string& body);
  void ServeAsOrigin(NodeIndex from, const wire::Envelope& message);
  void TakeFromOrigin(NodeIndex to, const wire::Envelope& message);
  void Send(NodeIndex from, NodeIndex to, wire::Envelope message);
  void Write(NodeIndex from, NodeIndex to, const std::string& body);
  void WriteNext(Outgoing& outgoing);
  void Flush(NodeIndex index);
  void Handle(NodeIndex index, weights::TransferOutput& output);
  void CheckComplete(NodeIndex index);
  void ScheduleTick(NodeIndex index);
  void At(kernel::Time time, std::function<void()> action);
  void ArmTimer();
  void CountLateness(kernel::Time due);

  World& m_world;
  std::uint32_t m_hosts;
  kernel::Random m_random;
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_timer;
  std::vector<std::unique_ptr<Outgoing>> m_outgoing;
  std::map<NodeIndex, Node> m_nodes;
  std::multimap<kernel::Time, std::function<void()>> m_events;
  std::thread m_thread;
};

}  // namespace radishrudder::measure

#endif  // MEASURE_SPREAD_HOST_H_
