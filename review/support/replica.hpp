// A replica as the platform's pages describe it: it registers in the store, runs what is meant for
// it in its slots, queues a few more, sheds the rest, and echoes the id of each request.

#ifndef TANAGERSPUR_REVIEW_REPLICA_HPP
#define TANAGERSPUR_REVIEW_REPLICA_HPP

#include "record.hpp"
#include "store.hpp"

#include <map>

namespace review
{

struct replica_options
{
    std::string id;
    std::string service;
    std::string zone = "zone-1";
    int slots = 3;
    int queue = 12;
    // How long a request takes.
    milliseconds work{60};
    // Bytes that are added to the text of an answer.
    std::size_t padding = 0;
};

// One run of a request.
struct run_note
{
    std::string replica;
    std::string method;
    std::string target;
    std::string body;
    // The digest of the answer.
    std::string seal;
};

// All runs, by the id of the request.
class run_list
{
public:
    std::string add(const std::string& id, run_note note)
    {
        const std::lock_guard lock{m_mutex};
        note.seal = "5e." + std::to_string(++m_count) + "." + id;
        m_runs[id].push_back(note);
        return note.seal;
    }
    std::vector<run_note> of(const std::string& id) const
    {
        const std::lock_guard lock{m_mutex};
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? std::vector<run_note>{} : found->second;
    }
    std::map<std::string, std::vector<run_note>> all() const
    {
        const std::lock_guard lock{m_mutex};
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<run_note>> m_runs;
    int m_count = 0;
};

class replica_stand_in
{
public:
    replica_stand_in(replica_options options, run_list& runs, record_file& record)
        : m_options(std::move(options))
        , m_runs(runs)
        , m_record(record)
        , m_slowness(1)
        , m_listener([this](connection& from) { serve(from); })
    {
    }

    void register_in(store_stand_in& store, const char* state = "ready")
    {
        store.set("servers/" + m_options.id,
                  R"({"service":")" + m_options.service + R"(","address":")" +
                      m_listener.address() + R"(","zone":")" + m_options.zone +
                      R"(","version":"v1","slots":)" + std::to_string(m_options.slots) +
                      R"(,"state":")" + state + R"(","warmup-left-ms":0,"seq":)" +
                      std::to_string(++m_sequence) + R"(,"born":1790000000000})");
    }
    // Work takes this many times as long.
    void set_slowness(double times) { m_slowness = times; }
    // Each answer with a number that this divides has no length and ends with its connection; 0 for
    // none.
    void set_unframed_each(int number) { m_unframed_each = number; }
    int unframed_answers() const { return m_unframed_answers; }
    const std::string& id() const { return m_options.id; }

    static std::string body_of(const std::string& id, std::size_t padding = 0)
    {
        return "answer to " + id + "\n" + std::string(padding, 'x');
    }

private:
    void serve(connection& from)
    {
        while (const auto call = from.read(clock::now() + forever))
            if (!answer(from, *call))
                return;
    }
    bool answer(connection& from, const http_message& call)
    {
        if (call.target() == "/health")
            return from.write(encode("HTTP/1.1 200 OK", {{"X-Instance-Id", m_options.id}}, ""));
        const std::string id = call.field("X-Request-Id");
        const std::string wanted = call.field("X-Target-Instance");
        if (!wanted.empty() && wanted != m_options.id)
            return from.write(encode("HTTP/1.1 421 Misdirected Request",
                                     {{"X-Request-Id", id}, {"X-Instance-Id", m_options.id}}, ""));
        if (!take_slot())
        {
            m_record.write(m_options.id + " sheds " + id);
            return from.write(encode("HTTP/1.1 503 Service Unavailable",
                                     {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}, ""));
        }
        const std::string seal =
            m_runs.add(id, {m_options.id, call.method(), call.target(), call.body, {}});
        m_record.write(m_options.id + " runs " + call.method() + " " + call.target() + " " + id +
                       " body of " + std::to_string(call.body.size()) + " bytes");
        std::this_thread::sleep_for(
            std::chrono::duration_cast<milliseconds>(m_options.work * m_slowness.load()));
        free_slot();
        const std::string body = body_of(id, m_options.padding);
        const int each = m_unframed_each;
        if (each == 0 || ++m_answers % each != 0)
            return from.write(
                encode("HTTP/1.1 200 OK", {{"X-Request-Id", id}, {"X-Response-Seal", seal}}, body));
        ++m_unframed_answers;
        m_record.write(m_options.id + " answers " + id + " without a length");
        from.write(
            encode("HTTP/1.1 200 OK",
                   {{"X-Request-Id", id}, {"X-Response-Seal", seal}, {"Connection", "close"}}, body,
                   false));
        return false;
    }
    bool take_slot()
    {
        std::unique_lock lock{m_mutex};
        if (m_running == m_options.slots && m_waiting == m_options.queue)
            return false;
        ++m_waiting;
        m_slot_is_free.wait(lock, [this] { return m_running < m_options.slots; });
        --m_waiting;
        ++m_running;
        return true;
    }
    void free_slot()
    {
        const std::lock_guard lock{m_mutex};
        --m_running;
        m_slot_is_free.notify_one();
    }

    replica_options m_options;
    run_list& m_runs;
    record_file& m_record;
    std::atomic<double> m_slowness;
    std::atomic<int> m_unframed_each = 0;
    std::atomic<int> m_answers = 0;
    std::atomic<int> m_unframed_answers = 0;
    int m_sequence = 0;
    std::mutex m_mutex;
    std::condition_variable m_slot_is_free;
    int m_running = 0;
    int m_waiting = 0;
    // Last, so that it serves only a complete replica.
    listener m_listener;
};

} // namespace review

#endif
