// tanagerspur: the operators' command-line tool.

#include "tanagerspur/common/ini.hpp"
#include "tanagerspur/host/caller_api.hpp"
#include "tanagerspur/operations/explain.hpp"
#include "tanagerspur/operations/fleet_client.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <thread>

DECLARE_bool(help);
DEFINE_string(platform, "127.0.0.1:7000", "address:port of the platform");
DEFINE_string(hosts, "", "IP addresses of hosts, instead of the platform's host list");
DEFINE_string(host, "", "IP address of one host");
DEFINE_uint32(caller_port, 8080, "callers' port of the hosts");
DEFINE_uint32(admin_port, 8081, "operators' port of the hosts");
DEFINE_bool(json, false, "write JSON");
DEFINE_int32(wait_s, 19,
             "apply: maximum wait in seconds until the manifest is in force on every host");
DEFINE_int64(expect_generation, -1, "apply: only replace this generation");
DEFINE_string(service, "", "query: the service");
DEFINE_string(key, "", "query: look up this key instead of searching");
DEFINE_string(body, "", "query: the body");
DEFINE_int32(deadline_ms, 1'000, "query: deadline in milliseconds");
DEFINE_bool(idempotent, true, "query: false for a request that must run at most once");
DEFINE_string(request_id, "", "query: request id; for idempotent=false one that a host issued");

namespace
{

using namespace tanagerspur;

// Exit codes, as the help text documents them.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;
constexpr int exit_no_answer = 3;
constexpr int exit_partial = 4;

constexpr const char* usage = R"(tanagerspur COMMAND [FILE] [--flags]

Commands:
  check FILE   check a manifest offline
  apply FILE   put a manifest in force; says when it is accepted and where it is in force
  show         print the manifest in force
  status       the state of every host, as a table or with --json
  query        send one query (--service, --key, --body, --deadline_ms, --idempotent)
  dump         print the state of one host (--host)
  drain        drain one host (--host)
  explain ID [LOG...]
               the history of a request from hosts' logs, or from standard input without files
  help         this text; "tanagerspur COMMAND --help" shows the flags

Exit codes:
  0 done; 1 refused or failed; 2 invalid input; 3 no answer; 4 partly done
)";

int fail(int code, const std::string& message)
{
    std::cerr << "tanagerspur: " << message << "\n";
    return code;
}

std::optional<endpoint> platform_endpoint()
{
    auto parsed = parse_endpoint(FLAGS_platform);
    if (!parsed)
        fail(exit_bad_input, "--platform: expected address:port by IP number");
    return parsed;
}

endpoint admin_of(const std::string& address)
{
    return {.address = address, .port = static_cast<std::uint16_t>(FLAGS_admin_port)};
}

// Returns the hosts given by --hosts, or those of the platform's host list.
std::optional<std::vector<listed_host>> hosts()
{
    if (FLAGS_hosts.empty())
    {
        const auto platform = platform_endpoint();
        if (!platform)
            return std::nullopt;
        auto listed = read_hosts(*make_blocking_store(*platform));
        if (!listed)
            fail(exit_no_answer, "the platform does not list hosts; name them with --hosts");
        return listed;
    }
    std::vector<listed_host> named;
    for (const std::string& address : split_list(FLAGS_hosts, ','))
        named.push_back({.id = host_id{address}, .zone = {}, .address = address});
    return named;
}

struct checked_manifest
{
    manifest parsed;
    std::string text;
};

std::optional<checked_manifest> load_manifest(const std::string& path)
{
    auto read = capture(
        [&]() -> result<checked_manifest>
        {
            BOOST_LEAF_AUTO(text, read_text_file(path));
            BOOST_LEAF_AUTO(parsed, parse_manifest(path, text));
            return checked_manifest{.parsed = std::move(parsed), .text = std::move(text)};
        });
    if (const auto* error = std::get_if<input_error>(&read))
    {
        fail(exit_bad_input, to_string(*error));
        return std::nullopt;
    }
    return std::move(std::get<checked_manifest>(read));
}

int check(const std::string& path)
{
    const auto loaded = load_manifest(path);
    if (!loaded)
        return exit_bad_input;
    std::cout << path << ": valid; deployment " << loaded->parsed.deployment << ", "
              << loaded->parsed.services.size() << " services, " << loaded->parsed.shards().size()
              << " shards\n";
    return exit_ok;
}

// Prints each host once it has reached the generation; returns true if all listed hosts have.
bool wait_in_force(generation wanted)
{
    const auto listed = hosts();
    if (!listed)
        return false;
    const auto begin = std::chrono::steady_clock::now();
    std::vector<listed_host> waiting = *listed;
    while (!waiting.empty() &&
           std::chrono::steady_clock::now() - begin < std::chrono::seconds{FLAGS_wait_s})
    {
        std::erase_if(waiting,
                      [&](const listed_host& each)
                      {
                          const auto status = read_status(admin_of(each.address));
                          if (!status ||
                              status->at("generation").to_number<std::uint64_t>() < wanted.value())
                              return false;
                          std::cout << "in force on " << each.id.value() << "\n";
                          return true;
                      });
        if (!waiting.empty())
            std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
    for (const listed_host& each : waiting)
        std::cerr << "tanagerspur: not confirmed to be in force on " << each.id.value() << "\n";
    return waiting.empty();
}

int apply(const std::string& path)
{
    const auto loaded = load_manifest(path);
    const auto platform = loaded ? platform_endpoint() : std::nullopt;
    if (!platform)
        return exit_bad_input;
    const std::string operation = boost::uuids::to_string(boost::uuids::random_generator()());
    std::optional<generation> expected;
    if (FLAGS_expect_generation >= 0)
        expected = generation{static_cast<std::uint64_t>(FLAGS_expect_generation)};
    const auto store = make_blocking_store(*platform);
    const apply_result applied = apply_manifest(*store, loaded->text, operation, expected);
    const std::string number = std::to_string(applied.current.number.value());
    switch (applied.status)
    {
    case apply_status::unknown:
        return fail(exit_no_answer, "the platform does not answer; it is not known whether "
                                    "operation " +
                                        operation + " took effect");
    case apply_status::superseded:
        return fail(exit_failed, "not accepted: generation " + number + " of operation " +
                                     applied.current.operation + " stands");
    case apply_status::unchanged:
        std::cout << "unchanged: generation " << number << " is the same manifest\n";
        break;
    case apply_status::accepted:
        std::cout << "accepted: generation " << number << ", operation " << operation << "\n";
        break;
    }
    return wait_in_force(applied.current.number) ? exit_ok : exit_partial;
}

int show()
{
    const auto platform = platform_endpoint();
    if (!platform)
        return exit_bad_input;
    const auto current = read_manifest(*make_blocking_store(*platform));
    if (!current)
        return fail(exit_no_answer, "the platform does not answer");
    if (current->number.value() == 0)
        return fail(exit_failed, "no manifest has been applied");
    std::cout << "; generation " << current->number.value() << ", operation " << current->operation
              << "\n"
              << current->text;
    return exit_ok;
}

void print_row(const std::vector<std::string>& cells)
{
    static constexpr int widths[] = {10, 12, 10, 11, 7, 7, 9, 7};
    for (std::size_t i = 0; i < cells.size(); ++i)
        std::cout << std::left << std::setw(widths[i % std::size(widths)]) << cells[i] << " ";
    std::cout << "\n";
}

int status()
{
    const auto listed = hosts();
    if (!listed)
        return exit_no_answer;
    boost::json::array all;
    std::size_t unresponsive = 0;
    if (!FLAGS_json)
        print_row({"HOST", "ZONE", "STATE", "GENERATION", "EPOCH", "OWNED", "DEPUTIZED", "PEERS"});
    for (const listed_host& each : *listed)
    {
        auto found = read_status(admin_of(each.address));
        unresponsive += found ? 0 : 1;
        boost::json::object line =
            found.value_or(boost::json::object{{"host", each.id.value()}, {"state", "no answer"}});
        line["address"] = each.address;
        const auto cell = [&](const char* name)
        {
            const auto* value = line.if_contains(name);
            if (value == nullptr)
                return std::string{"-"};
            return value->is_string() ? std::string{value->as_string()}
                                      : boost::json::serialize(*value);
        };
        if (!FLAGS_json)
            print_row({cell("host"), cell("zone"), cell("state"), cell("generation"), cell("epoch"),
                       cell("shards_owned"), cell("shards_deputized"), cell("peers_heard")});
        all.push_back(std::move(line));
    }
    if (FLAGS_json)
        std::cout << boost::json::serialize(boost::json::object{{"hosts", std::move(all)}}) << "\n";
    return unresponsive == 0 ? exit_ok : exit_partial;
}

std::optional<std::string> one_host()
{
    if (is_ip_number(FLAGS_host))
        return FLAGS_host;
    const auto listed = hosts();
    if (!listed || listed->empty())
        return std::nullopt;
    for (const listed_host& each : *listed)
        if (FLAGS_host.empty() || each.id.value() == FLAGS_host)
            return each.address;
    fail(exit_bad_input, "--host: expected an IP number or the name of a listed host");
    return std::nullopt;
}

int query()
{
    const auto address = one_host();
    if (!address)
        return exit_bad_input;
    const endpoint where{.address = *address,
                         .port = static_cast<std::uint16_t>(FLAGS_caller_port)};
    http_call call{.method = "POST",
                   .path = FLAGS_key.empty() ? search_path : lookup_path,
                   .body = std::make_shared<const std::string>(FLAGS_body)};
    call.parameters["service"] = FLAGS_service;
    if (!FLAGS_key.empty())
        call.parameters["key"] = FLAGS_key;
    call.fields["deadline-ms"] = std::to_string(FLAGS_deadline_ms);
    call.fields["idempotent"] = FLAGS_idempotent ? "true" : "false";
    if (!FLAGS_request_id.empty())
        call.fields["request-id"] = FLAGS_request_id;
    const duration timeout = std::chrono::milliseconds{FLAGS_deadline_ms + 2'000};
    const call_outcome outcome = call_and_wait(where, std::move(call), timeout);
    if (outcome.stage != call_stage::answered)
        return fail(exit_no_answer, "host " + *address + ": " + outcome.error);
    std::cout << outcome.reply.body;
    if (outcome.reply.status != 200)
        return exit_failed;
    boost::json::error_code error;
    const auto answer = boost::json::parse(outcome.reply.body, error);
    const bool is_complete = !error && answer.at("coverage").at("complete").as_bool();
    return is_complete ? exit_ok : exit_partial;
}

int call_admin(const std::string& method, const std::string& path)
{
    if (FLAGS_host.empty())
        return fail(exit_bad_input, "--host: expected an IP number or the name of a listed host");
    const auto address = one_host();
    if (!address)
        return exit_bad_input;
    const call_outcome outcome = call_and_wait(admin_of(*address), {.method = method, .path = path},
                                               std::chrono::seconds{5});
    if (outcome.stage != call_stage::answered)
        return fail(exit_no_answer, "host " + *address + ": " + outcome.error);
    std::cout << outcome.reply.body;
    return outcome.reply.status < 300 ? exit_ok : exit_failed;
}

int explain(const std::vector<std::string>& arguments)
{
    if (arguments.empty())
        return fail(exit_bad_input, "explain: expected the id of a request");
    std::vector<log_line> lines;
    for (std::size_t i = 1; i < arguments.size(); ++i)
    {
        std::ifstream file(arguments[i]);
        if (!file)
            return fail(exit_bad_input, arguments[i] + ": expected a log that can be read");
        read_log(arguments[i], file, lines);
    }
    if (arguments.size() == 1)
        read_log("-", std::cin, lines);
    const std::vector<std::string> history = explain_request(arguments[0], std::move(lines));
    if (history.empty())
        return fail(exit_failed, "no line names the request " + arguments[0]);
    for (const std::string& each : history)
        std::cout << each << "\n";
    return exit_ok;
}

int run(const std::string& command, const std::vector<std::string>& arguments)
{
    const std::string file = arguments.empty() ? "" : arguments[0];
    if (command == "explain")
        return explain(arguments);
    const bool needs_file = command == "check" || command == "apply";
    if (needs_file && file.empty())
        return fail(exit_bad_input, command + ": expected the path of a manifest");
    if (command == "check")
        return check(file);
    if (command == "apply")
        return apply(file);
    if (command == "show")
        return show();
    if (command == "status")
        return status();
    if (command == "query")
        return query();
    if (command == "dump")
        return call_admin("GET", "/admin/dump");
    if (command == "drain")
        return call_admin("POST", "/admin/drain");
    std::cerr << usage;
    return command == "help" ? exit_ok : exit_bad_input;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    const std::string command = argc > 1 ? argv[1] : "help";
    if (FLAGS_help)
    {
        gflags::ShowUsageWithFlagsRestrict(argv[0], "programs/tanagerspur.cpp");
        return exit_ok;
    }
    gflags::HandleCommandLineHelpFlags();
    return run(command, {argv + std::min(argc, 2), argv + argc});
}
