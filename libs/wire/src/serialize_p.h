#ifndef SEQUOIASTAGE_WIRE_SERIALIZE_P_H_
#define SEQUOIASTAGE_WIRE_SERIALIZE_P_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include "sequoiastage/wire/bytes.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// Saves or loads a string or list member with the bounded functions of bytes.h.
template <class Archive, class Member>
void SerializeBounded(Archive& archive, Member& member) {
  constexpr bool kIsText = std::is_same_v<Member, std::string>;
  if constexpr (Archive::is_saving::value && kIsText) {
    SaveBytes(archive, member);
  } else if constexpr (Archive::is_saving::value) {
    SaveList(archive, member);
  } else if constexpr (kIsText) {
    LoadBytes(archive, member);
  } else {
    LoadList(archive, member);
  }
}

template <class Archive>
void serialize(Archive& archive, HttpField& field) {
  SerializeBounded(archive, field.m_name);
  SerializeBounded(archive, field.m_value);
}

template <class Archive>
void serialize(Archive& archive, HttpRequest& request) {
  SerializeBounded(archive, request.m_method);
  SerializeBounded(archive, request.m_host);
  SerializeBounded(archive, request.m_target);
  SerializeBounded(archive, request.m_fields);
  SerializeBounded(archive, request.m_body);
}

template <class Archive>
void serialize(Archive& archive, HttpResponse& response) {
  archive(response.m_status);
  SerializeBounded(archive, response.m_fields);
  SerializeBounded(archive, response.m_body);
}

template <class Archive>
void serialize(Archive& archive, InstanceLoad& load) {
  archive(load.m_instance, load.m_slots, load.m_in_use, load.m_queued,
          load.m_is_suspect);
}

template <class Archive>
void serialize(Archive& archive, HelloMessage& message) {
  archive(message.m_node, message.m_incarnation);
}

template <class Archive>
void serialize(Archive& archive, DispatchMessage& message) {
  archive(message.m_attempt, message.m_egress_incarnation, message.m_service,
          message.m_instance, message.m_account, message.m_account_share,
          message.m_is_idempotent, message.m_accept_suspect);
  SerializeBounded(archive, message.m_completeness_field);
  archive(message.m_deadline_ms, message.m_request);
}

template <class Archive>
void serialize(Archive& archive, ResultMessage& message) {
  archive(message.m_attempt, message.m_result, message.m_reason,
          message.m_response);
  SerializeBounded(archive, message.m_loads);
}

template <class Archive>
void serialize(Archive& archive, QueryMessage& message) {
  archive(message.m_attempt, message.m_egress_incarnation,
          message.m_deadline_ms, message.m_cancel_running);
}

template <class Archive>
void serialize(Archive& archive, KeyedRequestMessage& message) {
  archive(message.m_attempt);
  SerializeBounded(archive, message.m_key);
  SerializeBounded(archive, message.m_account);
  archive(message.m_deadline_ms, message.m_is_query, message.m_request);
}

template <class Archive>
void serialize(Archive& archive, KeyedReplyMessage& message) {
  archive(message.m_attempt, message.m_outcome, message.m_response);
}

template <class Archive>
void serialize(Archive& archive, ConfigRequestMessage& message) {
  archive(message.m_attempt, message.m_start_offset);
}

template <class Archive>
void serialize(Archive& archive, RelayedRecord& record) {
  archive(record.m_offset);
  SerializeBounded(archive, record.m_text);
}

template <class Archive>
void serialize(Archive& archive, ConfigReplyMessage& message) {
  archive(message.m_attempt);
  SerializeBounded(archive, message.m_records);
  SerializeBounded(archive, message.m_state);
}

template <class Archive>
void serialize(Archive& archive, EgressLoadReport& report) {
  archive(report.m_slots, report.m_running, report.m_queued, report.m_hold_ms,
          report.m_expected_wait_ms);
}

template <class Archive>
void serialize(Archive& archive, OfferMessage& message) {
  archive(message.m_attempt, message.m_service);
  SerializeBounded(archive, message.m_instance);
  archive(message.m_is_idempotent, message.m_is_extra_attempt,
          message.m_is_hedge, message.m_starts_immediately, message.m_may_wait,
          message.m_accepts_held, message.m_urgency, message.m_time_left_ms);
  SerializeBounded(archive, message.m_caller_service);
  SerializeBounded(archive, message.m_request_id);
  archive(message.m_request);
}

template <class Archive>
void serialize(Archive& archive, TaggedOfferMessage& message) {
  archive(message.m_offer);
  SerializeBounded(archive, message.m_offer.m_account);
  archive(message.m_offer.m_share_account, message.m_offer.m_is_call,
          message.m_offer.m_body_bytes);
  SerializeBounded(archive, message.m_offer.m_route);
  archive(message.m_offer.m_max_wait_ms);
}

template <class Archive>
void serialize(Archive& archive, TokenRequest& request) {
  archive(request.m_account, request.m_waiting, request.m_prefetch,
          request.m_returned, request.m_spent, request.m_not_run);
}

template <class Archive>
void serialize(Archive& archive, TokenRequestMessage& message) {
  archive(message.m_number, message.m_share_us);
  SerializeBounded(archive, message.m_requests);
}

template <class Archive>
void serialize(Archive& archive, TokenGrant& grant) {
  archive(grant.m_account, grant.m_granted, grant.m_retry_after_ms);
}

template <class Archive>
void serialize(Archive& archive, TokenGrantMessage& message) {
  archive(message.m_number);
  SerializeBounded(archive, message.m_grants);
}

template <class Archive>
void serialize(Archive& archive, TokenLoanRequestMessage& message) {
  archive(message.m_number, message.m_account, message.m_wanted_milli);
}

template <class Archive>
void serialize(Archive& archive, TokenLoanMessage& message) {
  archive(message.m_number, message.m_account, message.m_tokens_milli);
}

template <class Archive>
void serialize(Archive& archive, OfferReplyMessage& message) {
  archive(message.m_attempt, message.m_verdict, message.m_reason,
          message.m_load_report);
}

template <class Archive>
void serialize(Archive& archive, StartMessage& message) {
  archive(message.m_attempt, message.m_time_left_ms, message.m_request);
}

template <class Archive>
void serialize(Archive& archive, CancelMessage& message) {
  archive(message.m_attempt);
}

template <class Archive>
void serialize(Archive& archive, OutcomeQueryMessage& message) {
  archive(message.m_attempt);
}

template <class Archive>
void serialize(Archive& archive, OutcomeMessage& message) {
  archive(message.m_attempt, message.m_result, message.m_reason,
          message.m_load_report, message.m_response);
}

template <class Archive>
void serialize(Archive& archive, RelayRequestMessage& message) {
  archive(message.m_next_config, message.m_next_member);
}

template <class Archive>
void serialize(Archive& archive, StoreRecord& record) {
  archive(record.m_topic, record.m_position);
  SerializeBounded(archive, record.m_key);
  SerializeBounded(archive, record.m_value);
}

template <class Archive>
void serialize(Archive& archive, RelayMessage& message) {
  archive(message.m_age_ms);
  SerializeBounded(archive, message.m_packed);
}

template <class Archive>
void serialize(Archive&, DrainingMessage&) {}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_SERIALIZE_P_H_
