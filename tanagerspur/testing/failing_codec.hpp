// The platform's codec, except that chosen entries of replicas and hosts end in an unexpected
// exception.

#ifndef TANAGERSPUR_TESTING_FAILING_CODEC_HPP
#define TANAGERSPUR_TESTING_FAILING_CODEC_HPP

#include "platform/codec.hpp"

#include <set>
#include <stdexcept>
#include <string>

namespace tanagerspur::testing
{

class failing_codec final : public store_codec
{
public:
    void fail_for(const std::string& id) { m_failing.insert(id); }

    store_key decode_key(const std::string& key) const override { return m_codec.decode_key(key); }
    configuration_value decode_configuration(const std::string& value) const override
    {
        return m_codec.decode_configuration(value);
    }
    replica_value decode_replica(const replica_id& id, const std::string& value) const override
    {
        fail_if_chosen(id.value());
        return m_codec.decode_replica(id, value);
    }
    host_value decode_host(const host_id& id, const std::string& value) const override
    {
        fail_if_chosen(id.value());
        return m_codec.decode_host(id, value);
    }
    std::string host_key(const host_id& id) const override { return m_codec.host_key(id); }
    std::string encode_host(const host_record& record) const override
    {
        return m_codec.encode_host(record);
    }
    quarantine_value decode_quarantine(const request_fingerprint& request,
                                       const std::string& value) const override
    {
        return m_codec.decode_quarantine(request, value);
    }
    std::string quarantine_key(const request_fingerprint& request) const override
    {
        return m_codec.quarantine_key(request);
    }
    std::string encode_quarantine(const quarantine_notice& notice) const override
    {
        return m_codec.encode_quarantine(notice);
    }

private:
    void fail_if_chosen(const std::string& id) const
    {
        if (m_failing.contains(id))
            throw std::runtime_error("unexpected");
    }

    platform::codec m_codec;
    std::set<std::string> m_failing;
};

} // namespace tanagerspur::testing

#endif
