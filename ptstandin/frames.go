package ptstandin

import (
	"math"
	"math/rand/v2"
	"reflect"
	"strconv"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptwire"
)

// maxDepth bounds the nesting depth of generated messages.
const maxDepth = 4

// ArbitraryFrame returns a random frame as a faulty or foreign process could send it. Any
// field may be missing, hold an extreme value of its type, or hold one of names, so that
// it can refer to objects that the receiver knows.
func ArbitraryFrame(random *rand.Rand, names []string) (frame *ptwire.Frame) {
	frame = &ptwire.Frame{}
	fillMessage(reflect.ValueOf(frame).Elem(), random, names, 0)
	return frame
}

func fillMessage(message reflect.Value, random *rand.Rand, names []string, depth int) {
	for index := range message.NumField() {
		if message.Type().Field(index).IsExported() && random.IntN(2) == 0 {
			fillField(message.Field(index), random, names, depth)
		}
	}
}

func fillField(field reflect.Value, random *rand.Rand, names []string, depth int) {
	switch field.Kind() {
	case reflect.Pointer:
		if depth < maxDepth {
			field.Set(reflect.New(field.Type().Elem()))
			fillMessage(field.Elem(), random, names, depth+1)
		}
	case reflect.Slice:
		if field.Type().Elem().Kind() == reflect.Uint8 {
			field.SetBytes([]byte("\xff\x00"))
			return
		}
		slice := reflect.MakeSlice(field.Type(), random.IntN(3), 3)
		for index := range slice.Len() {
			fillField(slice.Index(index), random, names, depth)
			if element := slice.Index(index); element.Kind() == reflect.Pointer && element.IsNil() {
				element.Set(reflect.New(element.Type().Elem()))
			}
		}
		field.Set(slice)
	case reflect.String:
		field.SetString(names[random.IntN(len(names))])
	case reflect.Bool:
		field.SetBool(random.IntN(2) == 0)
	case reflect.Int64, reflect.Int32:
		numbers := []int64{0, 1, -1, 1000, math.MaxInt32, math.MinInt32, math.MaxInt64, math.MinInt64}
		number := numbers[random.IntN(len(numbers))]
		if field.Kind() == reflect.Int32 {
			number = int64(int32(number))
		}
		field.SetInt(number)
	case reflect.Uint64, reflect.Uint32:
		numbers := []uint64{0, 1, 2, math.MaxUint32}
		if field.Kind() == reflect.Uint64 {
			numbers = append(numbers, math.MaxUint64, 1<<20, 1<<40)
		}
		field.SetUint(numbers[random.IntN(len(numbers))])
	case reflect.Float64:
		numbers := []float64{0, 1, -1, math.Inf(1), math.Inf(-1), math.NaN(), math.MaxFloat64}
		field.SetFloat(numbers[random.IntN(len(numbers))])
	default:
		panic("fields of kind " + strconv.Itoa(int(field.Kind())) + " are not supported")
	}
}

var errStreamClosed = errors.New("stream closed")

// DiscardStream is a session stream without a peer: it discards sent frames and delivers
// none.
type DiscardStream struct{ Closed chan struct{} }

// Send implements ptsession.Stream.
func (DiscardStream) Send(*ptwire.Frame) error { return nil }

// Recv implements ptsession.Stream. It blocks until Closed is closed.
func (stream DiscardStream) Recv() (*ptwire.Frame, error) {
	<-stream.Closed
	return nil, errStreamClosed
}
