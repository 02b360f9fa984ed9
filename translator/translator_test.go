package translator

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// fill sets every scalar field, including those of nested messages, to a value other than zero.
func fill(message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		number := int64(i + 1)
		switch {
		case field.IsList():
			continue
		case field.Kind() == protoreflect.MessageKind:
			fill(message.Mutable(field).Message())
		case field.Kind() == protoreflect.StringKind:
			message.Set(field, protoreflect.ValueOfString(string(field.Name())))
		case field.Kind() == protoreflect.BoolKind:
			message.Set(field, protoreflect.ValueOfBool(true))
		case field.Kind() == protoreflect.EnumKind:
			message.Set(field, protoreflect.ValueOfEnum(2))
		case field.Kind() == protoreflect.DoubleKind:
			message.Set(field, protoreflect.ValueOfFloat64(float64(number)/2))
		case field.Kind() == protoreflect.Uint32Kind:
			message.Set(field, protoreflect.ValueOfUint32(uint32(number)))
		case field.Kind() == protoreflect.Uint64Kind:
			message.Set(field, protoreflect.ValueOfUint64(uint64(number)))
		case field.Kind() == protoreflect.Int64Kind:
			message.Set(field, protoreflect.ValueOfInt64(number))
		}
	}
}

// TestRoundTrip guards against a field that is lost in the conversion to the types of
// package fleet and back.
func TestRoundTrip(t *testing.T) {
	checkRoundTrip(t, ServiceFromMessage, ServiceToMessage)
	checkRoundTrip(t, RouteFromMessage, RouteToMessage)
	checkRoundTrip(t, LimitFromMessage, LimitToMessage)
	checkRoundTrip(t, OverrideFromMessage, OverrideToMessage)
	checkRoundTrip(t, BackendFromMessage, BackendToMessage)
	checkRoundTrip(t, MemberFromMessage, MemberToMessage)
	checkRoundTrip(t, EventFromMessage, EventToMessage)
}

func checkRoundTrip[V any, M any, P interface {
	*M
	proto.Message
}](t *testing.T, from func(P) V, to func(V) P) {
	t.Helper()
	message := P(new(M))
	fill(message.ProtoReflect())
	converted := to(from(message))
	if !proto.Equal(message, converted) {
		t.Errorf("%T: round trip changed %v to %v", message, message, converted)
	}
}

func TestConfigurationToMessage(t *testing.T) {
	is := is.New(t)
	configuration := fleet.Configuration{}.WithRevision(3).
		WithService(fleet.Service{Name: "ledger", MinHealthySlots: 8}).
		WithRoute(fleet.Route{Name: "pickups", Service: "ledger", Timeout: time.Second}).
		WithLimit(fleet.Limit{Organisation: "store-1", Burst: 2}).
		WithOverride(fleet.Override{Backend: "ledger-1", Decision: fleet.DecisionOut})
	message := ConfigurationToMessage(configuration)
	is.Equal(message.GetRevision(), uint64(3))
	is.True(proto.Equal(message.GetServices()[0], ServiceToMessage(fleet.Service{Name: "ledger", MinHealthySlots: 8})))
	is.Equal(message.GetRoutes()[0].GetTimeoutMs(), uint32(1000))
	is.Equal(message.GetLimits()[0].GetBurst(), uint32(2))
	is.Equal(message.GetOverrides()[0].GetDecision(), "out")
	is.Equal(cowsliptallyv1.HealthState(fleet.Ejected), cowsliptallyv1.HealthState_HEALTH_STATE_EJECTED)
}
