// What reaches the core of a host: typed messages from the threads of the other duties.

#ifndef TANAGERSPUR_HOST_EVENTS_HPP
#define TANAGERSPUR_HOST_EVENTS_HPP

#include "tanagerspur/dispatch/sub_request.hpp"
#include "tanagerspur/net/http_server.hpp"
#include "tanagerspur/rpc/generated/host_link.pb.h"
#include "tanagerspur/store/key_value_store.hpp"

#include <variant>

namespace tanagerspur
{

// A call at the callers' port.
struct caller_arrived
{
    http_call call;
    std::uint64_t token = 0;
    http_responder respond;
};

// The caller closed its connection before the answer.
struct caller_gone
{
    std::uint64_t token = 0;
};

// A call at the operators' port.
struct operator_arrived
{
    http_call call;
    http_responder respond;
};

struct request_frame_arrived
{
    host_id from;
    wire::frame frame;
};

struct reply_frame_arrived
{
    host_id from;
    wire::frame frame;
};

struct link_lost
{
    host_id peer;
};

struct attempt_ended
{
    shard_key shard;
    attempt_id attempt;
    attempt_result result;
};

struct load_reported
{
    endpoint target;
    load_report report;
};

// The store's answer, for the function that asked.
struct store_answered
{
    key_value_store::value_handler handler;
    store_result result;
};

struct hosts_listed
{
    key_value_store::list_handler handler;
    host_list list;
};

// A peer's port was tried with a connection.
struct port_probed
{
    host_id host;
    time_point sent;
    bool refused = false;
};

struct drain_wanted
{
};

using core_event =
    std::variant<caller_arrived, caller_gone, operator_arrived, request_frame_arrived,
                 reply_frame_arrived, link_lost, attempt_ended, load_reported, store_answered,
                 hosts_listed, port_probed, drain_wanted>;

} // namespace tanagerspur

#endif
