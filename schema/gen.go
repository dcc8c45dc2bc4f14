package schema

//go:generate sh -c "cd ../tools && GOWORK=off go tool go-jsonschema --only-models --tags json --disable-custom-types-for-maps --capitalization ID --capitalization VM --capitalization MS --capitalization US --capitalization VMs --capitalization KV --capitalization SHA256 --capitalization KB --capitalization MB -p api -o ../internal/api/api_gen.go ../schema/*.yaml"
