#include "control.grpc.pb.h"
#include "peer.grpc.pb.h"
#include "routing_codec.hpp"
#include <dandeliontack/control_server.hpp>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server_posix.h>

#include <algorithm>
#include <mutex>
#include <set>
#include <stdexcept>
#include <utility>

namespace dandeliontack
{

namespace
{

constexpr auto shutdown_patience = std::chrono::milliseconds(500);

// The most records of one stream in a reply to a peer.
constexpr std::size_t largest_relay = 256;
constexpr std::size_t largest_relay_bytes = 32 * 1024;

using shared_table = std::shared_ptr<const wire::routing_table>;

class subscriber;

// The newest table and everyone who wants it.
struct hub
{
    std::mutex mutex;
    shared_table newest;
    std::uint64_t version = 0;
    shared_table confirmation;
    std::uint64_t confirmations = 0;
    std::set<subscriber*> subscribers;
};

// One open stream. gRPC owns it until OnDone.
class subscriber final : public grpc::ServerWriteReactor<wire::routing_table>
{
public:
    subscriber(hub& shared, gauge& open) : hub_(shared), open_(open)
    {
        open_.add(1);
        const std::scoped_lock lock(hub_.mutex);
        hub_.subscribers.insert(this);
        write_newest();
    }

    // Sends the newest table unless it was sent or a write is under way. The
    // hub's mutex must be held.
    void write_newest()
    {
        if (writing_ || finished_)
            return;
        if (hub_.newest && sent_ != hub_.version)
        {
            sent_ = hub_.version;
            write(hub_.newest);
        }
        else if (hub_.confirmation && confirmed_ != hub_.confirmations)
        {
            confirmed_ = hub_.confirmations;
            write(hub_.confirmation);
        }
    }

    void OnWriteDone(bool ok) override
    {
        const std::scoped_lock lock(hub_.mutex);
        writing_ = false;
        if (ok)
            write_newest();
        else
            finish();
    }

    void OnCancel() override
    {
        const std::scoped_lock lock(hub_.mutex);
        finish();
    }

    void OnDone() override
    {
        {
            const std::scoped_lock lock(hub_.mutex);
            hub_.subscribers.erase(this);
        }
        open_.add(-1);
        delete this;
    }

private:
    void write(shared_table message)
    {
        writing_ = true;
        in_transfer_ = std::move(message);
        StartWrite(in_transfer_.get());
    }

    void finish()
    {
        if (!std::exchange(finished_, true))
            Finish(grpc::Status::CANCELLED);
    }

    hub& hub_;
    gauge& open_;
    shared_table in_transfer_;
    std::uint64_t sent_ = 0;
    std::uint64_t confirmed_ = 0;
    bool writing_ = false;
    bool finished_ = false;
};

class control_service final : public wire::control::CallbackService
{
public:
    control_service(hub& shared, metric_registry& metrics)
        : hub_(shared), open_(metrics.get_gauge("tack_control_subscribers"))
    {}

    grpc::ServerWriteReactor<wire::routing_table>* subscribe_routing(
        grpc::CallbackServerContext* /*context*/,
        const wire::routing_request* /*request*/) override
    {
        return new subscriber(hub_, open_);
    }

private:
    hub& hub_;
    gauge& open_;
};

class peer_service final : public wire::peer::CallbackService
{
public:
    explicit peer_service(const relay_buffer& records) : records_(records) {}

    grpc::ServerUnaryReactor* relay(
        grpc::CallbackServerContext* context,
        const wire::relay_request* request, wire::relay_reply* reply) override
    {
        // The age is taken first, so that it holds for all that follows.
        const auto age =
            std::chrono::steady_clock::now() - records_.confirmed();
        reply->set_confirmed_age_ms(static_cast<std::uint64_t>(
            std::chrono::ceil<std::chrono::milliseconds>(age).count()));
        reply->set_system_end(records_.end(log_stream::system));
        for (auto& record : records_.read(
                 log_stream::system, request->system_from(), largest_relay,
                 largest_relay_bytes))
            reply->add_system(std::move(record));
        for (auto& record : records_.read(
                 log_stream::operators, request->operators_from(),
                 largest_relay, largest_relay_bytes))
            reply->add_operators(std::move(record));
        auto* reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    const relay_buffer& records_;
};

} // namespace

struct control_server::core
{
    core(metric_registry& metrics, const grpc_limits& bounds)
        : limits(bounds),
          service(shared, metrics),
          peers(records),
          gate(limits, metrics, [this](int descriptor) {
              grpc::AddInsecureChannelFromFd(server.get(), descriptor);
          })
    {}

    grpc_limits limits;
    hub shared;
    relay_buffer records;
    control_service service;
    peer_service peers;
    std::unique_ptr<grpc::Server> server;
    grpc_gate gate;
};

control_server::control_server(
    metric_registry& metrics, const grpc_limits& limits)
    : core_(std::make_unique<core>(metrics, limits))
{}

control_server::~control_server()
{
    stop();
}

endpoint control_server::listen(const endpoint& where)
{
    const auto& limits = core_->limits;
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(
        grpc::ResourceQuota("clients").Resize(limits.buffered_bytes));
    builder.SetMaxReceiveMessageSize(limits.request_bytes);
    builder.AddChannelArgument(
        GRPC_ARG_MAX_CONCURRENT_STREAMS,
        static_cast<int>(limits.frames.requests));
    builder.AddChannelArgument(
        GRPC_ARG_MAX_METADATA_SIZE,
        static_cast<int>(limits.frames.header_bytes));
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MAX_FRAME_SIZE,
        static_cast<int>(limits.frames.frame_bytes));
    // The windows of clients stay as they are at first.
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.RegisterService(&core_->service);
    builder.RegisterService(&core_->peers);
    core_->server = builder.BuildAndStart();
    if (!core_->server)
        throw std::runtime_error("can't serve on " + to_string(where));
    return core_->gate.listen(where);
}

void control_server::publish(const routing_table& table)
{
    auto message = std::make_shared<const wire::routing_table>(to_wire(table));
    core_->gate.set_answer_bytes(
        std::max(message->ByteSizeLong(), 2 * largest_relay_bytes));
    const std::scoped_lock lock(core_->shared.mutex);
    core_->shared.newest = std::move(message);
    ++core_->shared.version;
    for (auto* open : core_->shared.subscribers)
        open->write_newest();
}

void control_server::confirm(
    std::chrono::steady_clock::time_point when, const applied_position& applied)
{
    auto message = std::make_shared<wire::routing_table>();
    message->set_confirmation_only(true);
    message->set_system_end(applied.system_end);
    message->set_operators_end(applied.operators_end);
    message->set_confirmed_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            when.time_since_epoch())
            .count());
    const std::scoped_lock lock(core_->shared.mutex);
    core_->shared.confirmation = std::move(message);
    ++core_->shared.confirmations;
    for (auto* open : core_->shared.subscribers)
        open->write_newest();
}

relay_buffer& control_server::relay()
{
    return core_->records;
}

void control_server::stop()
{
    if (!core_->server)
        return;
    core_->gate.stop();
    core_->server->Shutdown(
        std::chrono::system_clock::now() + shutdown_patience);
    core_->server->Wait();
    core_->server.reset();
}

} // namespace dandeliontack
