#include <profiles/Preview.h>

#include <algorithm>
#include <iterator>

#include <google/protobuf/util/message_differencer.h>

namespace waxwingyoke::profiles {

namespace {

const schema::Profile kNoProfile;

const schema::Profile&
FindProfileOrEmpty(const Config& aConfig, const schema::Vm& aVm)
{
  const auto* profile = aConfig.FindProfileOf(aVm);
  return profile ? *profile : kNoProfile;
}

std::vector<AffectedVm>
FindAffectedVms(const Config& aBefore,
                const Config& aAfter,
                const schema::VmList& aVms)
{
  std::vector<AffectedVm> affected;
  std::ranges::for_each(aVms.vms(), [&](const schema::Vm& aVm) {
    const auto& before = FindProfileOrEmpty(aBefore, aVm);
    const auto& after = FindProfileOrEmpty(aAfter, aVm);
    if (before.revision() != after.revision()) {
      bool loads = after.kind() == schema::MODEL && !after.version().empty() &&
                   after.version() != before.version();
      affected.push_back({ aVm.id(), before.name(), after.name(), loads });
    }
  });
  return affected;
}

std::string
FormatOrganisations(const schema::RequestRules& aRules)
{
  std::string text;
  std::ranges::for_each(aRules.organisations(), [&text](const auto& aName) {
    text += text.empty() ? aName : ", " + aName;
  });
  return text.empty() ? "every organisation" : text;
}

std::vector<std::string>
FormatIdempotentRules(const schema::RequestRules& aRules)
{
  std::vector<std::string> rules;
  std::ranges::transform(
    aRules.idempotent(), std::back_inserter(rules), [](const auto& aRule) {
      return aRule.method() + " " + aRule.path_prefix();
    });
  std::ranges::sort(rules);
  return rules;
}

// Adds a line with aText for each of aListedRules that aOtherRules lacks. Both
// lists must be sorted.
void
AddRulesMissingFrom(const std::vector<std::string>& aListedRules,
                    const std::vector<std::string>& aOtherRules,
                    const std::string& aText,
                    std::vector<std::string>& aLines)
{
  std::vector<std::string> missing;
  std::ranges::set_difference(
    aListedRules, aOtherRules, std::back_inserter(missing));
  std::ranges::transform(missing,
                         std::back_inserter(aLines),
                         [&aText](const auto& aRule) { return aRule + aText; });
}

std::vector<std::string>
DescribeRequests(const schema::Profile* aBefore, const schema::Profile* aAfter)
{
  std::vector<std::string> lines;
  if (!aAfter) {
    if (aBefore) {
      lines.push_back("new requests for " + aBefore->name() + " are refused");
    }
    return lines;
  }
  if (!aBefore) {
    lines.push_back("requests for " + aAfter->name() + " are accepted from " +
                    FormatOrganisations(aAfter->requests()));
  } else {
    auto from = FormatOrganisations(aBefore->requests());
    auto to = FormatOrganisations(aAfter->requests());
    if (from != to) {
      lines.push_back("requests are accepted from " + to + " instead of " +
                      from);
    }
  }
  const auto& old = aBefore ? aBefore->requests() : kNoProfile.requests();
  auto before = FormatIdempotentRules(old);
  auto after = FormatIdempotentRules(aAfter->requests());
  AddRulesMissingFrom(after, before, " may be repeated", lines);
  AddRulesMissingFrom(before, after, " may no longer be repeated", lines);
  return lines;
}

} // namespace

std::string
DescribeDifference(const schema::Profile* aCurrent,
                   const schema::Profile& aProposed)
{
  if (!aCurrent) {
    return "no such profile is in force";
  }
  google::protobuf::util::MessageDifferencer differencer;
  const auto* fields = schema::Profile::descriptor();
  differencer.IgnoreField(fields->FindFieldByName("revision"));
  differencer.IgnoreField(fields->FindFieldByName("author"));
  std::string text;
  differencer.ReportDifferencesToString(&text);
  differencer.Compare(*aCurrent, aProposed);
  return text.empty() ? "no difference" : text;
}

Preview
MakePreview(const Fold& aFold,
            const schema::ProfileChange& aChange,
            const schema::VmList& aVms)
{
  auto after = aFold;
  schema::LogRecord record;
  record.set_id("preview");
  *record.mutable_profile_change() = aChange;
  const auto& name = aChange.profile().name();
  auto before = aFold.GetConfig();
  Preview preview;
  preview.difference =
    DescribeDifference(before->FindProfile(name), aChange.profile());
  preview.result =
    after.Apply(aFold.GetNextOffset(), record.SerializeAsString());
  if (preview.result.outcome == FoldOutcome::Accepted) {
    auto config = after.GetConfig();
    preview.vms = FindAffectedVms(*before, *config, aVms);
    preview.requests =
      DescribeRequests(before->FindProfile(name), config->FindProfile(name));
  }
  return preview;
}

std::string
Show(const Preview& aPreview)
{
  std::string text =
    "the change would be " + std::string(GetName(aPreview.result.outcome));
  if (aPreview.result.outcome != FoldOutcome::Accepted) {
    text += ": " + aPreview.result.profile + " at revision " +
            std::to_string(aPreview.result.revision) + " by " +
            aPreview.result.author;
  }
  // Appended in parts: GCC 12 reports a false -Wrestrict, when optimising, for
  // a literal + a temporary string.
  text += '\n' + aPreview.difference;
  text += '\n';
  text += std::to_string(aPreview.vms.size()) + " VMs affected\n";
  std::ranges::for_each(aPreview.vms, [&text](const AffectedVm& aVm) {
    auto before = aVm.before.empty() ? "none" : aVm.before;
    auto after = aVm.after.empty() ? "none" : aVm.after;
    text += "  " + aVm.vm + ": " + before + " -> " + after +
            (aVm.loads ? ", loads\n" : "\n");
  });
  std::ranges::for_each(aPreview.requests, [&text](const std::string& aLine) {
    text += aLine + "\n";
  });
  return text;
}

} // namespace waxwingyoke::profiles
